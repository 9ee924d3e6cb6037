//! Prints the tables of the documentation: `cargo run --example tables`.

use cranberrytally::{
    config::{FIELDS, ValueType},
    error::ErrorKind,
    metrics::Counter,
};

fn main() {
    for f in FIELDS {
        let unit = if matches!(f.value_type, ValueType::Number(..)) {
            format!(" {}", f.unit)
        } else {
            String::new()
        };
        println!("| `{}` | {}{unit} | {} | {} |", f.key, f.default_text(), f.range_text(), f.description);
    }
    println!();
    for kind in ErrorKind::ALL {
        let a = kind.answer();
        let retry = a.retry_after_s.map_or("no".to_owned(), |s| format!("after {s} s"));
        println!("| `{}` | {} | {} | {retry} | {} |", a.code, a.status, a.ran.as_str(), a.about);
    }
    println!();
    for counter in Counter::ALL {
        let spec = counter.spec();
        println!("| `{}_total` | `{}` | {} |", spec.name, spec.label, spec.description);
    }
}
