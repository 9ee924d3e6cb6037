//! The documentation shows the same tables as the code.

use std::{fs, path::Path};

use cranberrytally::{error::ErrorKind, metrics::Counter};

fn page(name: &str) -> String {
    fs::read_to_string(name).unwrap()
}

#[test]
fn callers_see_every_error() {
    let text = page("docs/CALLERS.md");

    for kind in ErrorKind::ALL {
        let a = kind.answer();
        let retry = a.retry_after_s.map_or("no".to_owned(), |s| format!("after {s} s"));
        let row = format!("| `{}` | {} | {} | {retry} | {} |", a.code, a.status, a.ran.as_str(), a.about);
        assert!(text.contains(&row), "docs/CALLERS.md lacks this row:\n{row}");
    }
    let outcomes = ["| not-run |", "| unknown |", "| ran |"];
    let rows = text.lines().filter(|l| outcomes.iter().any(|o| l.contains(o))).count();
    assert_eq!(rows, ErrorKind::ALL.len(), "docs/CALLERS.md has rows for kinds that are gone");
}

#[test]
fn the_metrics_page_lists_every_counter() {
    let text = page("docs/METRICS.md");

    for counter in Counter::ALL {
        let spec = counter.spec();
        let row = format!("| `{}_total` | `{}` | {} |", spec.name, spec.label, spec.description);
        assert!(text.contains(&row), "docs/METRICS.md lacks this row:\n{row}");
    }
}

/// Names of the code in the glossary: backticked words with an upper-case letter, and modules in the second column.
#[test]
fn the_glossary_uses_names_of_the_code() {
    let text = page("docs/GLOSSARY.md");
    let source = sources(Path::new("src"));
    let backticked = |cell: &str| cell.split('`').skip(1).step_by(2).map(str::to_owned).collect::<Vec<_>>();
    let is_type = |word: &String| word.starts_with(char::is_uppercase);
    let mut types = 0;

    for row in text.lines().filter(|l| l.starts_with("| ")) {
        for name in backticked(row).into_iter().filter(is_type) {
            let kinds = ["struct", "enum", "trait"].map(|kind| format!("{kind} {name}"));
            let defined = |kind: &String| {
                let ends = [" {", "(", "<", ";", ":"].map(|end| format!("{kind}{end}"));
                ends.iter().any(|e| source.contains(e))
            };
            assert!(kinds.iter().any(defined), "docs/GLOSSARY.md: the code has no {name}");
            types += 1;
        }
    }
    for row in text.split("## Words of the code").nth(1).unwrap().lines().filter(|l| l.starts_with("| ")) {
        for module in backticked(row.split(" | ").nth(1).unwrap()) {
            let file = format!("src/{}.rs", module.replace("::", "/"));
            assert!(Path::new(&file).is_file(), "docs/GLOSSARY.md: there is no {file}");
        }
    }
    assert!(types > 20, "{types} names were found");
}

/// All text below a folder.
fn sources(dir: &Path) -> String {
    let paths = fs::read_dir(dir).unwrap().map(|e| e.unwrap().path());
    paths.map(|p| if p.is_dir() { sources(&p) } else { fs::read_to_string(p).unwrap() }).collect()
}

#[test]
fn the_readme_names_every_bench() {
    let text = page("README.md");
    let cargo = page("Cargo.toml");
    let benches: Vec<_> =
        cargo.split("[[bench]]\nname = \"").skip(1).map(|b| b.split('"').next().unwrap()).collect();

    for bench in &benches {
        assert!(
            text.contains(&format!("| `cargo bench --bench {bench}` | ")),
            "README.md has no line for {bench}"
        );
    }
    assert!(!benches.is_empty());
}
