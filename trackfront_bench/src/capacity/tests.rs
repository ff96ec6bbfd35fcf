use super::*;

#[test]
fn a_row_with_a_cell_too_few_is_found() {
    assert!(tables("| a | b |\n|---|---|\n| 1 | 2 |\n").is_ok());
    assert!(tables("| a | b |\n|---|---|\n| 1 |\n").is_err());
    assert!(tables("| a | b |\n| 1 | 2 |\n").is_err());
}
