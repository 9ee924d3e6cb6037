//! `get`: prints objects stored on the platform.

use std::process::ExitCode;

use anyhow::{Context, Result, bail, ensure};
use gumdrop::Options;

use super::{Run, UsageError, remote};
use crate::{catalog::AnyObject, objects::CONFIGURATION_KINDS};

/// Prints objects stored on the platform.
#[derive(Debug, Options)]
pub(crate) struct Get {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "KIND [NAME]")]
    words: Vec<String>,
    #[options(short = "o", meta = "FORMAT", help = "json or yaml; a table without it")]
    output: String,
    #[options(no_short, meta = "ADDR", help = "the platform's object API")]
    platform: String,
}

impl Run for Get {
    fn run(&self) -> Result<ExitCode> {
        let (kind, name) = match self.words.as_slice() {
            [kind] => (kind, None),
            [kind, name] => (kind, Some(name)),
            _ => return Err(UsageError("expected KIND [NAME]".into()).into()),
        };
        check_kind(kind)?;
        let platform = remote::platform(&self.platform)?;
        let objects = remote::block_on(async {
            match name {
                None => Ok(platform.list_kind(kind).await?.items),
                Some(name) => {
                    let found = platform.get(kind, name).await?;
                    Ok(vec![found.with_context(|| format!("there is no {kind}/{name}"))?])
                }
            }
        })?;
        print!("{}", format_objects(&objects, name.is_some(), &self.output)?);
        Ok(ExitCode::SUCCESS)
    }
}

/// Checks that `kind` is one of the kinds that operators write.
pub(super) fn check_kind(kind: &str) -> Result<()> {
    let kinds = CONFIGURATION_KINDS;
    ensure!(kinds.contains(&kind), "`{kind}` is not one of {}", kinds.join(", "));
    Ok(())
}

fn format_objects(objects: &[AnyObject], single: bool, output: &str) -> Result<String> {
    match output {
        "" => Ok(format_table(objects)),
        "json" if single => Ok(serde_json::to_string_pretty(&objects[0])? + "\n"),
        "json" => Ok(serde_json::to_string_pretty(objects)? + "\n"),
        // One document per object, as `apply` reads them.
        "yaml" => serde_saphyr::to_string_multiple(objects).context("could not write the YAML"),
        other => bail!("unknown output format `{other}`; expected json or yaml"),
    }
}

fn format_table(objects: &[AnyObject]) -> String {
    let mut text = format!("{:<16} {:<24} {:>8} {}\n", "KIND", "NAME", "VERSION", "LABELS");
    for obj in objects {
        let meta = &obj.metadata;
        let labels: Vec<_> = meta.labels.iter().map(|(k, v)| format!("{k}={v}")).collect();
        let labels = labels.join(",");
        text += &format!("{:<16} {:<24} {:>8} {labels}\n", obj.kind, meta.name, meta.resource_version);
    }
    text
}
