//! Standard output, whose reader may go away before everything is written.

use std::fmt;
use std::io::{self, Write};
use std::process;

use crate::failure;

/// Writes a line. A reader that has gone away, such as a pager that was closed, ends the process
/// in good order; any other fault of the output ends it with an error.
pub fn line(text: fmt::Arguments<'_>) {
    match writeln!(io::stdout().lock(), "{text}") {
        Ok(()) => {}
        Err(error) if error.kind() == io::ErrorKind::BrokenPipe => process::exit(0),
        Err(error) => {
            eprintln!("the output cannot be written: {error}");
            process::exit(i32::from(failure::USAGE));
        }
    }
}

/// Writes a formatted line by [`line()`].
macro_rules! say {
    ($($argument:tt)*) => {
        $crate::output::line(format_args!($($argument)*))
    };
}
pub(crate) use say;
