//! The documentation shows the same tables as the code.

use std::fs;

use cranberrytally::{error::Kind, metrics::Counter};

fn page(name: &str) -> String {
    fs::read_to_string(name).unwrap()
}

#[test]
fn callers_see_every_error() {
    let text = page("docs/CALLERS.md");

    for kind in Kind::ALL {
        let a = kind.answer();
        let retry = a.retry_s.map_or("no".to_owned(), |s| format!("after {s} s"));
        let row = format!("| `{}` | {} | {} | {retry} | {} |", a.code, a.status, a.ran.as_str(), a.about);
        assert!(text.contains(&row), "docs/CALLERS.md lacks this row:\n{row}");
    }
    let outcomes = ["| not-run |", "| unknown |", "| ran |"];
    let rows = text.lines().filter(|l| outcomes.iter().any(|o| l.contains(o))).count();
    assert_eq!(rows, Kind::ALL.len(), "docs/CALLERS.md has rows for kinds that are gone");
}

#[test]
fn the_metrics_page_lists_every_counter() {
    let text = page("docs/METRICS.md");

    for counter in Counter::ALL {
        let shown = counter.shown();
        let row = format!("| `{}_total` | `{}` | {} |", shown.name, shown.label, shown.about);
        assert!(text.contains(&row), "docs/METRICS.md lacks this row:\n{row}");
    }
}
