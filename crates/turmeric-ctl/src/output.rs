//! Output as a table for people or as JSON for programs.

use std::io::IsTerminal;

use comfy_table::presets::UTF8_HORIZONTAL_ONLY;
use comfy_table::{Attribute, Cell, ContentArrangement, Table};
use serde_json::Value;

use crate::client::text_of;

/// How to print.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OutputForm {
    pub(crate) is_json: bool,
}

impl OutputForm {
    /// Prints rows of objects; `columns` names the fields to show.
    pub(crate) fn print_rows(&self, columns: &[&str], rows: &[Value]) {
        if self.is_json {
            println!("{}", Value::from(rows.to_vec()));
            return;
        }
        let mut table = Table::new();
        let is_terminal = std::io::stdout().is_terminal();
        table
            .load_style(UTF8_HORIZONTAL_ONLY)
            .set_content_arrangement(ContentArrangement::Dynamic)
            .set_header(columns.iter().map(|column| header(column, is_terminal)));
        for row in rows {
            table.add_row(columns.iter().map(|column| text_of(&row[*column])));
        }
        println!("{table}");
    }

    /// Prints one object, a field a line.
    pub(crate) fn print_fields(&self, value: &Value) {
        if self.is_json {
            println!("{value}");
            return;
        }
        if let Value::Object(fields) = value {
            for (name, field) in fields {
                println!("{name:<20} {}", text_of(field));
            }
        }
    }
}

/// Headers are bold on a terminal only.
fn header(column: &str, is_terminal: bool) -> Cell {
    let cell = Cell::new(column.replace('_', " "));
    if is_terminal {
        cell.add_attribute(Attribute::Bold)
    } else {
        cell
    }
}
