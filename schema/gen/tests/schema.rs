//! Checks that the committed code under `src/schema` is what the generator makes of `schema/`.
//! `WRITE_SCHEMA=1 cargo test -p schema-gen` writes it anew.

use std::{fs, path::Path};

const SCHEMA: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/..");
const COMMITTED: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../src/schema");
const SERDE: &str = "#[derive(serde::Serialize, serde::Deserialize)]";
const STRICT: &str = "#[serde(deny_unknown_fields, default)]";

fn files() -> Vec<String> {
    let mut names: Vec<_> = fs::read_dir(SCHEMA)
        .unwrap()
        .map(|f| f.unwrap().file_name().into_string().unwrap())
        .filter(|name| name.ends_with(".proto"))
        .collect();
    names.sort();
    names
}

fn generate(out: &Path) {
    let set = protox::compile(files(), [SCHEMA]).expect("schema compiles");
    let mut cfg = prost_build::Config::new();
    cfg.btree_map(["."])
        .type_attribute(".", SERDE)
        .message_attribute(".settings", STRICT)
        .message_attribute(".object", "#[serde(deny_unknown_fields, default, rename_all = \"camelCase\")]")
        .message_attribute(".engine", "#[serde(default)]")
        .message_attribute(".lease", "#[serde(deny_unknown_fields, default, rename_all = \"camelCase\")]")
        .out_dir(out)
        .compile_fds(set)
        .expect("code is generated");
}

#[test]
fn committed_code_is_current() {
    let committed = Path::new(COMMITTED);
    if std::env::var_os("WRITE_SCHEMA").is_some() {
        generate(committed);
    }
    let fresh = Path::new(env!("CARGO_TARGET_TMPDIR")).join("schema");
    fs::create_dir_all(&fresh).unwrap();

    generate(&fresh);

    for file in files() {
        let name = file.replace(".proto", ".rs");
        let want = fs::read_to_string(fresh.join(&name)).unwrap();
        let have = fs::read_to_string(committed.join(&name)).unwrap_or_default();
        assert_eq!(have, want, "{name} is not current; run WRITE_SCHEMA=1 cargo test -p schema-gen");
    }
}
