//! Output as text tables or JSON.

use std::str::FromStr;

use serde::Serialize;

/// The output format of a command.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum OutputFormat {
    /// Tables for people.
    #[default]
    Table,
    /// JSON for programs.
    Json,
}

impl FromStr for OutputFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "table" => Ok(Self::Table),
            "json" => Ok(Self::Json),
            other => Err(format!("`{other}` is no form of output: use table or json")),
        }
    }
}

/// A table whose columns are as wide as their widest cell.
#[derive(Debug, Clone)]
pub struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// Creates a table without rows under the given column titles.
    pub fn new(titles: &[&str]) -> Self {
        let titles = titles.iter().map(|title| (*title).to_owned()).collect();
        Self { rows: vec![titles] }
    }

    /// Adds a row.
    pub fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// Returns whether the table has no rows below its titles.
    pub fn is_empty(&self) -> bool {
        self.rows.len() == 1
    }

    /// Returns the table as aligned text, with two spaces between columns.
    pub fn render(&self) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let mut widths = vec![0; columns];
        for row in &self.rows {
            for (width, cell) in widths.iter_mut().zip(row) {
                *width = (*width).max(cell.chars().count());
            }
        }
        let mut text = String::new();
        for row in &self.rows {
            let mut line = String::new();
            for (width, cell) in widths.iter().zip(row) {
                line.push_str(cell);
                let padding = width - cell.chars().count() + 2;
                line.extend(std::iter::repeat_n(' ', padding));
            }
            text.push_str(line.trim_end());
            text.push('\n');
        }
        text
    }
}

/// Prints a value as indented JSON.
pub fn print_json(value: &impl Serialize) {
    match serde_json::to_string_pretty(value) {
        Ok(text) => println!("{text}"),
        Err(error) => eprintln!("the output can't be encoded: {error}"),
    }
}
