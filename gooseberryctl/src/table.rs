//! Tables of text with aligned columns.

use crate::output::print_line;

/// Separator of two columns.
const SEPARATOR: &str = "  ";

/// Prints column headers and rows, with each column as wide as its widest cell.
pub fn print(headers: &[&str], rows: &[Vec<String>]) {
    for line in render(headers, rows) {
        print_line!("{line}");
    }
}

/// Returns the lines of a table.
fn render(headers: &[&str], rows: &[Vec<String>]) -> Vec<String> {
    let headers: Vec<String> = headers.iter().map(|header| (*header).to_owned()).collect();
    let all = || std::iter::once(&headers).chain(rows);
    let width = |column: usize| {
        let cells = all().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..headers.len()).map(width).collect();
    let line = |row: &Vec<String>| {
        let cells = row.iter().zip(&widths);
        let cells: Vec<String> = cells
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        cells.join(SEPARATOR).trim_end().to_owned()
    };
    all().map(line).collect()
}
