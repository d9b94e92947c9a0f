//! Columns of text.

/// The space between two columns.
const GAP: &str = "  ";

/// Prints rows under their heads, each column as wide as its widest cell.
pub fn print(heads: &[&str], rows: &[Vec<String>]) {
    print!("{}", render(heads, rows));
}

fn render(heads: &[&str], rows: &[Vec<String>]) -> String {
    let heads: Vec<String> = heads.iter().map(|head| (*head).to_owned()).collect();
    let all = || std::iter::once(&heads).chain(rows);
    let width = |column: usize| {
        let cells = all().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..heads.len()).map(width).collect();
    let mut text = String::new();
    for row in all() {
        let cells = row.iter().zip(&widths);
        let cells: Vec<String> = cells
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        text.push_str(cells.join(GAP).trim_end());
        text.push('\n');
    }
    text
}
