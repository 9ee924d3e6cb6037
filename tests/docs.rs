//! Tests that tables in the documentation match the code.

use std::{fs, path::Path};

use cranberrytally::{error::ErrorKind, metrics::Counter};

fn page(name: &str) -> String {
    fs::read_to_string(name).unwrap()
}

#[test]
fn the_callers_page_lists_every_error() {
    let text = page("docs/CALLERS.md");

    for kind in ErrorKind::ALL {
        let answer = kind.answer();
        let retry = answer.retry_after_s.map_or("no".to_owned(), |s| format!("after {s} s"));
        let row = format!(
            "| `{}` | {} | {} | {retry} | {} |",
            answer.code,
            answer.status,
            answer.ran.as_str(),
            answer.about
        );
        assert!(text.contains(&row), "docs/CALLERS.md lacks this row:\n{row}");
    }
    let outcomes = ["| not-run |", "| unknown |", "| ran |"];
    let rows = text.lines().filter(|l| outcomes.iter().any(|o| l.contains(o))).count();
    assert_eq!(rows, ErrorKind::ALL.len(), "docs/CALLERS.md has rows for error kinds that do not exist");
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

/// Guards against a glossary that names types or modules which do not exist. Types are words in backticks that begin with an
/// upper-case letter; modules are in the second column.
#[test]
fn the_glossary_names_existing_types_and_modules() {
    let text = page("docs/GLOSSARY.md");
    let source = source_text(Path::new("src"));
    let backticked = |cell: &str| cell.split('`').skip(1).step_by(2).map(str::to_owned).collect::<Vec<_>>();
    let is_type = |word: &String| word.starts_with(char::is_uppercase);
    let mut types = 0;

    for row in text.lines().filter(|l| l.starts_with("| ")) {
        for name in backticked(row).into_iter().filter(is_type) {
            let kinds = ["struct", "enum", "trait"].map(|kind| format!("{kind} {name}"));
            let defined = |kind: &String| {
                let suffixes = [" {", "(", "<", ";", ":"].map(|suffix| format!("{kind}{suffix}"));
                suffixes.iter().any(|suffix| source.contains(suffix))
            };
            assert!(
                kinds.iter().any(defined),
                "docs/GLOSSARY.md names {name}, which the code does not define"
            );
            types += 1;
        }
    }
    for row in text.split("## Words of the code").nth(1).unwrap().lines().filter(|l| l.starts_with("| ")) {
        for module in backticked(row.split(" | ").nth(1).unwrap()) {
            let file = format!("src/{}.rs", module.replace("::", "/"));
            assert!(Path::new(&file).is_file(), "docs/GLOSSARY.md names a module without its file {file}");
        }
    }
    assert!(types > 20, "only {types} types found in docs/GLOSSARY.md");
}

/// Contents of all files below a folder.
fn source_text(dir: &Path) -> String {
    let paths = fs::read_dir(dir).unwrap().map(|e| e.unwrap().path());
    paths.map(|p| if p.is_dir() { source_text(&p) } else { fs::read_to_string(p).unwrap() }).collect()
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
            "README.md has no table row for {bench}"
        );
    }
    assert!(!benches.is_empty());
}
