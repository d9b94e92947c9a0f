//! Standard output, whose reader may close it before everything is written.

use std::fmt;
use std::io::{self, Write};
use std::process;

use crate::failure;

/// Writes a line. Exits the process with success if the reader has closed the pipe, as a pager does
/// when it is quit, and with an error if the output fails otherwise.
pub fn write_line(text: fmt::Arguments<'_>) {
    match writeln!(io::stdout().lock(), "{text}") {
        Ok(()) => {}
        Err(error) if error.kind() == io::ErrorKind::BrokenPipe => process::exit(0),
        Err(error) => {
            eprintln!("cannot write the output: {error}");
            process::exit(i32::from(failure::EXIT_USAGE));
        }
    }
}

/// Formats a line and writes it with [`write_line`].
macro_rules! print_line {
    ($($argument:tt)*) => {
        $crate::output::write_line(format_args!($($argument)*))
    };
}
pub(crate) use print_line;
