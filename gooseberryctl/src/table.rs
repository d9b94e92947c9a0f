//! Columns of text.

use crate::output::say;

/// The space between two columns.
const GAP: &str = "  ";

/// Prints rows under their heads, each column as wide as its widest cell.
pub fn print(heads: &[&str], rows: &[Vec<String>]) {
    for line in render(heads, rows) {
        say!("{line}");
    }
}

fn render(heads: &[&str], rows: &[Vec<String>]) -> Vec<String> {
    let heads: Vec<String> = heads.iter().map(|head| (*head).to_owned()).collect();
    let all = || std::iter::once(&heads).chain(rows);
    let width = |column: usize| {
        let cells = all().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..heads.len()).map(width).collect();
    let line = |row: &Vec<String>| {
        let cells = row.iter().zip(&widths);
        let cells: Vec<String> = cells
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        cells.join(GAP).trim_end().to_owned()
    };
    all().map(line).collect()
}
