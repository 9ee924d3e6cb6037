//! `label`: sets and removes labels of one object.

use std::process::ExitCode;

use anyhow::{Context, Result, bail};
use gumdrop::Options;
use rand::{SeedableRng, rngs::StdRng};

use super::{
    Run, UsageError, apply, get,
    remote::{self, Exit},
};
use crate::{catalog::Labels, revision::check};

/// Sets and removes labels of one object.
#[derive(Debug, Options)]
pub(crate) struct Label {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "KIND NAME LABEL=VALUE... LABEL-...")]
    words: Vec<String>,
    #[options(no_short, meta = "ADDR", help = "the platform's object API")]
    platform: String,
}

impl Run for Label {
    fn run(&self) -> Result<ExitCode> {
        let [kind, name, changes @ ..] = self.words.as_slice() else {
            return Err(UsageError("expected KIND NAME LABEL=VALUE... LABEL-...".into()).into());
        };
        get::check_kind(kind)?;
        if changes.is_empty() {
            return Err(UsageError("expected at least one LABEL=VALUE or LABEL-".into()).into());
        }
        let platform = remote::platform(&self.platform)?;
        remote::block_on(async {
            let found = platform.get(kind, name).await?;
            let mut obj = found.with_context(|| format!("there is no {kind}/{name}"))?;
            changes.iter().try_for_each(|text| apply_change(&mut obj.metadata.labels, text))?;
            let problems = check::check(&obj);
            if !problems.is_empty() {
                problems.iter().for_each(|p| eprintln!("{kind}/{name}: {p}"));
                return Ok(Exit::Invalid.into());
            }
            let write = platform.put_with_retries(obj, &mut StdRng::from_os_rng()).await?;
            Ok(apply::report_outcome(&format!("{kind}/{name}"), write, &mut 0).into())
        })
    }
}

fn apply_change(labels: &mut Labels, text: &str) -> Result<()> {
    match (text.split_once('='), text.strip_suffix('-')) {
        (Some((key, value)), _) => drop(labels.insert(key.to_owned(), value.to_owned())),
        (None, Some(key)) => drop(labels.remove(key)),
        (None, None) => bail!("`{text}` is neither LABEL=VALUE nor LABEL-"),
    }
    Ok(())
}
