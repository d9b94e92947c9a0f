//! The declaration in force, decoded and indexed once for each version.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use gooseberrylb_config::declaration::{Table, Text};
use gooseberrylb_config::dialect::Dialect;
use gooseberrylb_config::directory::Directory;

/// Keeps the last decoded declaration.
#[derive(Default)]
pub struct Cache {
    last: RefCell<Option<(Arc<Text>, Rc<Table>)>>,
}

impl Cache {
    /// The table of a configuration, if it holds a declaration that can be read.
    pub fn read(&self, directory: &Directory, dialect: &dyn Dialect) -> Option<Rc<Table>> {
        let text = directory.declaration.as_ref()?;
        if let Some((known, table)) = &*self.last.borrow()
            && Arc::ptr_eq(known, text)
        {
            return Some(table.clone());
        }
        let declaration = match dialect.declaration(text.source()) {
            Ok(declaration) => declaration,
            Err(findings) => {
                // It was read before it was accepted, so only another release can have done that.
                log::error!(version = text.version(), findings:? = findings; "the declaration cannot be read");
                return None;
            }
        };
        let table = Rc::new(Table::new(declaration));
        *self.last.borrow_mut() = Some((text.clone(), table.clone()));
        log::info!(
            version = text.version(), revision = directory.revision.0, routes = table.declaration.routes.len();
            "a declaration is in force here"
        );
        Some(table)
    }
}
