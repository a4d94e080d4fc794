//! The table of result codes in the documentation matches the code.

use kernel::Code;

#[test]
fn documentation_lists_all_result_codes() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/RESULT-CODES.md");
    let page = std::fs::read_to_string(path).unwrap();
    let is_row = |line: &&str| line.starts_with("| ") && line.as_bytes()[2].is_ascii_digit();
    let documented: Vec<&str> = page.lines().filter(is_row).collect();
    let expected: Vec<String> = Code::ALL.iter().map(|code| row(*code)).collect();
    assert_eq!(documented, expected);
}

fn row(code: Code) -> String {
    let after = code.retry_after().map_or("–".to_owned(), |after| after.as_secs().to_string());
    format!(
        "| {} | {code:?} | {} | {:?} | {} | {} | {after} |",
        code.number(),
        code.title(),
        code.outcome(),
        code.status(),
        code.exit_code()
    )
}
