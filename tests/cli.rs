//! Command line: help and version, one-line errors on stderr, exit codes.

use std::{
    fs,
    path::{Path, PathBuf},
    process::Command,
};

const GOOD: &str = "name: r1\nlisten: 127.0.0.1:8000\npeer_listen: 127.0.0.1:8001\ndata_centre: poa-a\n\
    region: poa\nplatform: 127.0.0.1:9000\nshared_key: secret\n";
const COMMANDS: [&str; 8] = ["serve", "check", "demo", "apply", "get", "label", "status", "drain"];
/// Address on which nothing listens: the port is reserved.
const NOWHERE: &str = "127.0.0.1:1";

struct RunResult {
    code: i32,
    out: String,
    err: String,
}

fn run(args: &[&str]) -> RunResult {
    let out = Command::new(env!("CARGO_BIN_EXE_cranberrytally")).args(args).output().unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    RunResult { code: out.status.code().unwrap(), out: text(out.stdout), err: text(out.stderr) }
}

/// Creates a file with this text that no other test uses; returns its path.
fn file(name: &str, text: &str) -> String {
    let path =
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("cli-{name}-{}.yaml", std::process::id()));
    fs::write(&path, text).unwrap();
    path.to_str().unwrap().to_owned()
}

#[test]
fn every_command_has_help() {
    let top = run(&["--help"]);

    assert_eq!((top.code, top.err.as_str()), (0, ""));
    for command in COMMANDS {
        let line = top.out.lines().find(|l| l.trim_start().starts_with(&format!("{command} ")));
        assert!(line.is_some_and(|l| l.split_whitespace().count() > 2), "{command} has no line: {}", top.out);

        let own = run(&[command, "--help"]);
        let sentence = own.out.lines().any(|l| l.ends_with('.') && l.starts_with(char::is_uppercase));
        assert_eq!((own.code, own.err.as_str()), (0, ""), "{command}");
        assert!(sentence && own.out.contains("--help"), "{command}: {}", own.out);
        for option in own.out.lines().filter(|l| l.trim_start().starts_with('-')) {
            assert!(option.split("  ").filter(|s| !s.is_empty()).count() > 1, "{command}: {option}");
        }
    }
}

#[test]
fn the_version_matches_the_package() {
    let result = run(&["--version"]);

    assert_eq!((result.code, result.out), (0, format!("cranberrytally {}\n", env!("CARGO_PKG_VERSION"))));
}

#[test]
fn invalid_arguments_get_a_one_line_error() {
    let table: [(&[&str], &str); 14] = [
        (&[], "no command given"),
        (&["begin"], "unrecognized command `begin`"),
        (&["--quiet"], "unrecognized option `--quiet`"),
        (&["check", "--quiet", "x"], "unrecognized option `--quiet`"),
        (&["check"], "expected at least one settings file"),
        (&["serve"], "missing required option `--config`"),
        (&["serve", "-c"], "missing argument to option `-c`"),
        (&["demo", "--chats", "many"], "invalid argument to option `--chats`"),
        (&["apply", "--platform", NOWHERE], "missing required option `--file`"),
        (&["apply", "--timeout-s", "-1", "-f", "x"], "--timeout-s"),
        (&["get"], "expected KIND [NAME]"),
        (&["get", "Engine", "a", "b"], "expected KIND [NAME]"),
        (&["label", "Engine"], "expected KIND NAME"),
        (&["drain", "r1"], "missing required option `--config`"),
    ];
    for (args, expected) in table {
        let result = run(args);

        assert_eq!((result.code, result.out.as_str()), (2, ""), "{args:?}: {}", result.err);
        assert!(result.err.contains(expected), "{args:?}: {}", result.err);
        assert_eq!(result.err.lines().count(), 1, "{args:?}: {}", result.err);
    }
}

#[test]
fn check_reports_on_every_file() {
    let (good, other) = (file("good", GOOD), file("other", &GOOD.replace("r1", "r2")));
    let bad = file("bad", &format!("{GOOD}http_threads: 0\nlimit: 5\n"));
    let garbled = file("garbled", "name: [\n");
    let absent = "no/such/file.yaml";
    let table: [(&[&str], i32, &[&str]); 6] = [
        (&[&good], 0, &[]),
        (&[&good, &other], 0, &[]),
        (&[&good, &bad, &other], 2, &["line 8, `http_threads`", "line 9, `limit`"]),
        (&[&garbled], 2, &["could not read the YAML"]),
        (&[absent, &good], 1, &["could not read no/such/file.yaml"]),
        (&[&bad, absent], 2, &["line 8, `http_threads`", "could not read no/such/file.yaml"]),
    ];
    for (files, code, expected) in table {
        let result = run(&[&["check"], files].concat());

        assert_eq!(result.code, code, "{files:?}: {}", result.err);
        assert!(expected.iter().all(|t| result.err.contains(t)), "{files:?}: {}", result.err);
        let fine = files.iter().filter(|f| [&*good, &*other].contains(*f));
        assert_eq!(result.out.lines().count(), fine.count(), "{files:?}: {}", result.out);
    }
}

#[test]
fn failures_have_their_exit_code() {
    let settings = file("settings", GOOD);
    let objects = file("objects", "kind: Workspace\nmetadata: {name: a}\n");
    let wrong = file("wrong", "kind: Workspace\nmetadata: {name: '-'}\n");
    let (garbled, empty) = (file("objects-garbled", "kind: ["), file("objects-empty", ""));
    let table: [(&[&str], i32, &str); 11] = [
        (&["apply", "-f", &wrong, "--platform", NOWHERE], 2, "document 1: metadata.name"),
        (&["apply", "-f", &garbled, "--platform", NOWHERE], 2, "could not read the YAML"),
        (&["apply", "-f", &empty, "--platform", NOWHERE], 2, "the file contains no objects"),
        (&["apply", "-f", "no/such/file", "--platform", NOWHERE], 1, "could not read no/such/file"),
        (&["apply", "-f", &objects, "--platform", "here"], 1, "--platform is not an IP address and port"),
        (&["apply", "-f", &objects, "--platform", NOWHERE], 1, "could not"),
        (&["apply", "-f", &objects, "--platform", NOWHERE, "--wait"], 1, "--router is missing"),
        (&["get", "Engines", "--platform", NOWHERE], 1, "is not one of"),
        (&["status", "--router", NOWHERE], 1, "no router responded"),
        (&["drain", NOWHERE, "-c", &settings], 1, "could not reach"),
        (&["serve", "-c", "no/such/file"], 1, "could not read no/such/file"),
    ];
    for (args, code, expected) in table {
        let result = run(args);

        assert_eq!(result.code, code, "{args:?}: {}", result.err);
        assert!(result.err.contains(expected), "{args:?}: {}", result.err);
        assert!(!result.err.contains("panicked"), "{args:?}: {}", result.err);
    }
}

#[test]
fn the_operators_page_lists_commands_and_exit_codes() {
    let page = fs::read_to_string(Path::new("docs/OPERATORS.md")).unwrap();

    for command in COMMANDS {
        assert!(page.contains(&format!("| `{command}")), "docs/OPERATORS.md has no row for {command}");
    }
    for code in 0..=5 {
        assert!(
            page.contains(&format!("\n| {code} | ")),
            "docs/OPERATORS.md has no row for exit code {code}"
        );
    }
}
