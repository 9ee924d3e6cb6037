//! `get`: shows objects as the platform has them.

use std::process::ExitCode;

use anyhow::{Context, Result, bail, ensure};
use gumdrop::Options;

use super::{Run, Usage, remote};
use crate::{catalog::AnyObject, objects::CONFIGURATION_KINDS};

/// Shows objects as the platform has them.
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
            _ => return Err(Usage("expected KIND [NAME]".into()).into()),
        };
        known_kind(kind)?;
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
        print!("{}", show(&objects, name.is_some(), &self.output)?);
        Ok(ExitCode::SUCCESS)
    }
}

/// Refuses a kind that operators don't write.
pub(super) fn known_kind(kind: &str) -> Result<()> {
    let kinds = CONFIGURATION_KINDS;
    ensure!(kinds.contains(&kind), "`{kind}` is not one of {}", kinds.join(", "));
    Ok(())
}

fn show(objects: &[AnyObject], single: bool, output: &str) -> Result<String> {
    match output {
        "" => Ok(table(objects)),
        "json" if single => Ok(serde_json::to_string_pretty(&objects[0])? + "\n"),
        "json" => Ok(serde_json::to_string_pretty(objects)? + "\n"),
        // Documents that `apply` takes again.
        "yaml" => serde_saphyr::to_string_multiple(objects).context("could not write the YAML"),
        other => bail!("`{other}` is neither json nor yaml"),
    }
}

fn table(objects: &[AnyObject]) -> String {
    let mut text = format!("{:<16} {:<24} {:>8} {}\n", "KIND", "NAME", "VERSION", "LABELS");
    for obj in objects {
        let meta = &obj.metadata;
        let labels: Vec<_> = meta.labels.iter().map(|(k, v)| format!("{k}={v}")).collect();
        let labels = labels.join(",");
        text += &format!("{:<16} {:<24} {:>8} {labels}\n", obj.kind, meta.name, meta.resource_version);
    }
    text
}
