//! Checks docs/CAPACITY.md: its tables parse, and every command that it names exists.

use std::path::Path;

use anyhow::{Context, ensure};

use crate::cli::{Capacity, Question};

/// The page.
const PAGE: &str = "docs/CAPACITY.md";

/// The headings that the page has to have.
const HEADINGS: [&str; 6] = [
    "Target",
    "Roles",
    "The platform's table",
    "Latency",
    "The two measures",
    "What does not fit yet",
];

/// The column of the roles' table that names commands.
const COMMAND_COLUMN: &str = "command";

/// A table of the page.
struct Table {
    line: usize,
    columns: Vec<String>,
    rows: Vec<Vec<String>>,
}

/// Checks the page and prints how much was found.
pub fn run(args: &Capacity) -> anyhow::Result<()> {
    ensure!(args.check, "the page's figures are written by hand for now; give --check");
    let text = std::fs::read_to_string(Path::new(PAGE))
        .with_context(|| format!("cannot read {PAGE}; run this in the repository's top folder"))?;
    for heading in HEADINGS {
        ensure!(text.contains(&format!("\n## {heading}\n")), "{PAGE} has no heading `{heading}`");
    }
    let tables = tables(&text)?;
    let mut commands = 0;
    for table in &tables {
        commands += check_commands(table)?;
    }
    ensure!(commands > 0, "{PAGE} names no command; add the column `{COMMAND_COLUMN}`");
    println!("{PAGE}: {} tables and {commands} commands are sound", tables.len());
    Ok(())
}

/// Reads all tables; each row has to have as many cells as its head.
fn tables(text: &str) -> anyhow::Result<Vec<Table>> {
    let mut tables: Vec<Table> = Vec::new();
    let mut in_table = false;
    for (index, line) in text.lines().enumerate() {
        if !line.starts_with('|') {
            in_table = false;
            continue;
        }
        let cells = cells(line);
        match tables.last_mut().filter(|_| in_table) {
            None => {
                tables.push(Table { line: index + 1, columns: cells, rows: Vec::new() });
                in_table = true;
            }
            Some(table) => {
                let (found, wanted) = (cells.len(), table.columns.len());
                ensure!(
                    found == wanted,
                    "{PAGE}:{}: the row has {found} cells and its head {wanted}",
                    index + 1
                );
                table.rows.push(cells);
            }
        }
    }
    for table in &tables {
        let rule = table.rows.first().is_some_and(|row| row.iter().all(|cell| cell == "---"));
        ensure!(rule, "{PAGE}:{}: the table's head has no rule below it", table.line);
    }
    Ok(tables)
}

fn cells(line: &str) -> Vec<String> {
    let inner = line.trim().trim_start_matches('|').trim_end_matches('|');
    inner.split('|').map(|cell| cell.trim().to_string()).collect()
}

/// Checks the commands that a table names and returns how many there are.
fn check_commands(table: &Table) -> anyhow::Result<usize> {
    let Some(column) = table.columns.iter().position(|column| column == COMMAND_COLUMN) else {
        return Ok(0);
    };
    let named: Vec<&str> = table
        .rows
        .iter()
        .skip(1)
        .map(|row| row[column].trim_matches('`'))
        .filter(|command| !command.is_empty())
        .collect();
    for command in &named {
        ensure!(
            Question::NAMES.contains(command),
            "{PAGE}:{}: there is no command `{command}`; the commands are {}",
            table.line,
            Question::NAMES.join(", ")
        );
    }
    Ok(named.len())
}

#[cfg(test)]
mod tests;
