//! Checks that the committed code under `src/schema` matches `schema/*.proto`.
//! `WRITE_SCHEMA=1 cargo test -p schema-gen` generates it again.

use std::{fs, path::Path};

/// Folder of the `.proto` files.
const SCHEMA_DIR: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/..");
/// Folder of the committed generated code.
const COMMITTED_DIR: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../src/schema");
const SERDE_DERIVE: &str = "#[derive(serde::Serialize, serde::Deserialize)]";
const STRICT_SERDE: &str = "#[serde(deny_unknown_fields, default)]";

fn proto_files() -> Vec<String> {
    let mut names: Vec<_> = fs::read_dir(SCHEMA_DIR)
        .unwrap()
        .map(|f| f.unwrap().file_name().into_string().unwrap())
        .filter(|name| name.ends_with(".proto"))
        .collect();
    names.sort();
    names
}

fn generate(out: &Path) {
    let set = protox::compile(proto_files(), [SCHEMA_DIR]).expect("the schema does not compile");
    let mut cfg = prost_build::Config::new();
    cfg.btree_map(["."])
        .type_attribute(".", SERDE_DERIVE)
        .message_attribute(".settings", STRICT_SERDE)
        .message_attribute(".object", "#[serde(deny_unknown_fields, default, rename_all = \"camelCase\")]")
        .message_attribute(".engine", "#[serde(default)]")
        .field_attribute(".fleet.Backend.version", "#[serde(skip)]")
        .field_attribute(".fleet.Route.max_pause_ms", "#[serde(skip)]")
        .message_attribute(".lease", "#[serde(deny_unknown_fields, default, rename_all = \"camelCase\")]")
        .out_dir(out)
        .compile_fds(set)
        .expect("the code could not be generated");
}

#[test]
fn committed_code_is_up_to_date() {
    let committed = Path::new(COMMITTED_DIR);
    if std::env::var_os("WRITE_SCHEMA").is_some() {
        generate(committed);
    }
    let fresh = Path::new(env!("CARGO_TARGET_TMPDIR")).join("schema");
    fs::create_dir_all(&fresh).unwrap();

    generate(&fresh);

    for file in proto_files() {
        let name = file.replace(".proto", ".rs");
        let want = fs::read_to_string(fresh.join(&name)).unwrap();
        let have = fs::read_to_string(committed.join(&name)).unwrap_or_default();
        assert_eq!(
            have, want,
            "src/schema/{name} is out of date; run WRITE_SCHEMA=1 cargo test -p schema-gen"
        );
    }
}
