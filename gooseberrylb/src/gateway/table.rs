//! Decodes and indexes the declaration in force, once per version.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use gooseberrylb_config::declaration::{Table, Text};
use gooseberrylb_config::dialect::Dialect;
use gooseberrylb_config::directory::Directory;

/// Cache of the last decoded declaration.
#[derive(Default)]
pub struct Cache {
    /// Text and table of the last declaration.
    last: RefCell<Option<(Arc<Text>, Rc<Table>)>>,
}

impl Cache {
    /// Returns the table of the declaration in `directory`, if there is one that can be decoded.
    pub fn read(&self, directory: &Directory, dialect: &dyn Dialect) -> Option<Rc<Table>> {
        let text = directory.declaration.as_ref()?;
        if let Some((known, table)) = &*self.last.borrow()
            && Arc::ptr_eq(known, text)
        {
            return Some(table.clone());
        }
        let declaration = match dialect.decode_declaration(text.source()) {
            Ok(declaration) => declaration,
            Err(findings) => {
                // The text was decoded before it was accepted, so another release must have
                // accepted a declaration that this one does not understand.
                log::error!(version = text.version(), findings:? = findings; "cannot decode the declaration in force");
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
