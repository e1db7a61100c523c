//! Tables as text.

/// Rows of cells with a heading, columns as wide as their widest cell.
#[derive(Debug, Clone, Default)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// A table with these headings.
    pub fn new<S: Into<String>>(headings: impl IntoIterator<Item = S>) -> Self {
        Table { rows: vec![headings.into_iter().map(Into::into).collect()] }
    }

    /// Adds a row.
    pub fn row<S: Into<String>>(&mut self, cells: impl IntoIterator<Item = S>) {
        self.rows.push(cells.into_iter().map(Into::into).collect());
    }

    /// The text, a line a row.
    pub fn to_text(&self) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..columns).map(width).collect();
        let line = |row: &Vec<String>| {
            let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
            cells.collect::<Vec<String>>().join("  ").trim_end().to_owned()
        };
        self.rows.iter().map(line).collect::<Vec<String>>().join("\n")
    }
}
