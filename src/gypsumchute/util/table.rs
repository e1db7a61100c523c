//! Plain-text tables.

/// Table with a heading row. Each column is as wide as the widest cell.
#[derive(Debug, Clone, Default)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with the given column headings.
    pub fn new<S: Into<String>>(headings: impl IntoIterator<Item = S>) -> Self {
        Table { rows: vec![headings.into_iter().map(Into::into).collect()] }
    }

    /// Appends a row.
    pub fn add_row<S: Into<String>>(&mut self, cells: impl IntoIterator<Item = S>) {
        self.rows.push(cells.into_iter().map(Into::into).collect());
    }

    /// Formats the table with one line per row.
    pub fn to_text(&self) -> String {
        let column_count = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let column_width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        let column_widths: Vec<usize> = (0..column_count).map(column_width).collect();
        let format_row = |row: &Vec<String>| {
            let cells =
                row.iter().zip(&column_widths).map(|(cell, width)| format!("{cell:<width$}"));
            cells.collect::<Vec<String>>().join("  ").trim_end().to_owned()
        };
        self.rows.iter().map(format_row).collect::<Vec<String>>().join("\n")
    }
}
