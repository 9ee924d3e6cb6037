//! Checks that the committed code under `src/schema` is what the generator makes of `schema/`.
//! `WRITE_SCHEMA=1 cargo test --test schema` writes it anew.

use std::{fs, path::Path};

const FILES: [&str; 3] = ["settings.proto", "object.proto", "peer.proto"];
const SERDE: &str = "#[derive(serde::Serialize, serde::Deserialize)]";
const STRICT: &str = "#[serde(deny_unknown_fields, default)]";

fn generate(out: &Path) {
    let set = protox::compile(FILES, ["schema"]).expect("schema compiles");
    let mut cfg = prost_build::Config::new();
    cfg.btree_map(["."])
        .type_attribute(".", SERDE)
        .message_attribute(".settings", STRICT)
        .message_attribute(".object", "#[serde(deny_unknown_fields, default, rename_all = \"camelCase\")]")
        .out_dir(out)
        .compile_fds(set)
        .expect("code is generated");
}

#[test]
fn committed_code_is_current() {
    let committed = Path::new("src/schema");
    if std::env::var_os("WRITE_SCHEMA").is_some() {
        generate(committed);
    }
    let fresh = Path::new(env!("CARGO_TARGET_TMPDIR")).join("schema");
    fs::create_dir_all(&fresh).unwrap();

    generate(&fresh);

    for file in FILES {
        let name = file.replace(".proto", ".rs");
        let want = fs::read_to_string(fresh.join(&name)).unwrap();
        let have = fs::read_to_string(committed.join(&name)).unwrap_or_default();
        assert_eq!(have, want, "{name} is not current; run WRITE_SCHEMA=1 cargo test --test schema");
    }
}
