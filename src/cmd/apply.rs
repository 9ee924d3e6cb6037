//! `apply`: writes objects from a file to the platform, and optionally waits until all routers have them in force.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::ExitCode,
    time::{Duration, Instant},
};

use anyhow::{Context, Result};
use gumdrop::Options;
use rand::{SeedableRng, rngs::StdRng};

use super::{
    Run,
    remote::{self, Exit, QueryResult},
};
use crate::{
    catalog::AnyObject,
    client::Client,
    objects::{Platform, Version, WriteOutcome},
    revision::check,
};

const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Writes objects from a file to the platform, and optionally waits until all routers have them in force.
#[derive(Debug, Options)]
pub(crate) struct Apply {
    #[options(help = "print this help")]
    help: bool,
    #[options(short = "f", required, help = "YAML file with one or more objects")]
    file: PathBuf,
    #[options(no_short, meta = "ADDR", help = "the platform's object API")]
    platform: String,
    #[options(no_short, meta = "ADDR", help = "a router, to find all others; may be given several times")]
    router: Vec<String>,
    #[options(no_short, help = "wait until all live routers have the version in force")]
    wait: bool,
    #[options(no_short, meta = "N", default = "60", help = "seconds to wait at most")]
    timeout_s: u64,
}

impl Run for Apply {
    fn run(&self) -> Result<ExitCode> {
        let platform = remote::platform(&self.platform)?;
        let routers = if self.wait { remote::routers(&self.router)? } else { Vec::new() };
        let objects = match read_objects(&self.file)? {
            Ok(objects) => objects,
            Err(problems) => {
                problems.iter().for_each(|p| eprintln!("{}: {p}", self.file.display()));
                eprintln!("nothing was written");
                return Ok(Exit::Invalid.into());
            }
        };
        remote::block_on(async {
            let (version, exit) = write_all(&platform, objects).await?;
            if exit != Exit::Done || !self.wait {
                return Ok(exit.into());
            }
            let timeout = Duration::from_secs(self.timeout_s);
            Ok(wait_until_in_force(&routers, version, timeout).await.into())
        })
    }
}

/// Reads the objects of a file; the inner error lists all problems of invalid objects.
fn read_objects(file: &Path) -> Result<Result<Vec<AnyObject>, Vec<String>>> {
    let text = std::fs::read_to_string(file).with_context(|| format!("could not read {}", file.display()))?;
    let docs: Vec<serde_json::Value> = match serde_saphyr::from_multiple(&text) {
        Ok(docs) => docs,
        Err(e) => return Ok(Err(vec![format!("could not read the YAML: {e}")])),
    };
    if docs.is_empty() {
        return Ok(Err(vec!["the file contains no objects".into()]));
    }
    let (mut objects, mut problems, mut names) = (Vec::new(), Vec::new(), BTreeSet::new());
    for (i, doc) in docs.iter().enumerate() {
        match check::parse(doc) {
            Ok(obj) if !names.insert(kind_and_name(&obj)) => {
                problems.push(format!("document {}: duplicate object {}", i + 1, kind_and_name(&obj)));
            }
            Ok(obj) => objects.push(obj),
            Err(found) => problems.extend(found.iter().map(|p| format!("document {}: {p}", i + 1))),
        }
    }
    Ok(if problems.is_empty() { Ok(objects) } else { Err(problems) })
}

/// Writes all objects; returns the highest version written and the worst exit code.
async fn write_all(platform: &Platform, objects: Vec<AnyObject>) -> Result<(Version, Exit)> {
    let mut rng = StdRng::from_os_rng();
    let (mut version, mut worst) = (0, Exit::Done);
    for obj in objects {
        let name = kind_and_name(&obj);
        let Some(obj) = prepare_write(platform, obj, &mut version).await? else {
            println!("{name} unchanged");
            continue;
        };
        let written = platform.put_with_retries(obj, &mut rng).await;
        let exit =
            report_outcome(&name, written.with_context(|| format!("could not write {name}"))?, &mut version);
        worst = worst.max(exit);
    }
    Ok((version, worst))
}

/// Returns the object to write, or `None` if the platform already has it. Unless the file specifies a version, the
/// write is conditional on the current version.
async fn prepare_write(
    platform: &Platform,
    mut obj: AnyObject,
    version: &mut Version,
) -> Result<Option<AnyObject>> {
    if !obj.metadata.resource_version.is_empty() {
        return Ok(Some(obj));
    }
    let Some(current) = platform.get(&obj.kind, &obj.metadata.name).await? else { return Ok(Some(obj)) };
    let same = current.spec == obj.spec && current.metadata.labels == obj.metadata.labels;
    obj.metadata.resource_version = current.metadata.resource_version;
    if same {
        *version = (*version).max(version_of(&obj));
        return Ok(None);
    }
    Ok(Some(obj))
}

/// Prints the outcome of a write and returns its exit code.
pub(super) fn report_outcome(name: &str, write: WriteOutcome, version: &mut Version) -> Exit {
    match write {
        WriteOutcome::Done(obj) => {
            println!("{name} written, version {}", obj.metadata.resource_version);
            *version = (*version).max(version_of(&obj));
            Exit::Done
        }
        WriteOutcome::Conflict(Some(now)) => {
            eprintln!(
                "{name}: conflict; version {} won, yours is not in force",
                now.metadata.resource_version
            );
            Exit::Conflict
        }
        WriteOutcome::Conflict(None) => {
            eprintln!("{name}: conflict; it was deleted meanwhile, yours is not in force");
            Exit::Conflict
        }
        WriteOutcome::Unknown => {
            eprintln!("{name}: the platform did not answer; it may be written or not");
            Exit::Unknown
        }
    }
}

/// Waits until all live routers serve at least `version`; prints those that don't when `timeout` has passed.
async fn wait_until_in_force(routers: &[SocketAddr], version: Version, timeout: Duration) -> Exit {
    let (client, start) = (Client::default(), Instant::now());
    loop {
        let results = remote::query_all(&client, routers).await;
        let behind: Vec<_> = results.iter().filter_map(|(addr, a)| describe_lag(addr, a, version)).collect();
        if behind.is_empty() {
            let seconds = start.elapsed().as_secs_f64();
            println!(
                "version {version} is in force at all {} live routers after {seconds:.1} s",
                results.len()
            );
            return Exit::Done;
        }
        if start.elapsed() >= timeout {
            behind.iter().for_each(|line| eprintln!("not in force: {line}"));
            return Exit::NotInForce;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Describes why a router does not count as having the version in force; `None` if it does.
fn describe_lag(addr: &SocketAddr, result: &QueryResult, version: Version) -> Option<String> {
    let name = &result.name;
    match &result.status {
        Err(e) => Some(format!("{name} ({addr}): {e:#}")),
        Ok(s) if !s.configuration.ready => Some(format!("{name} ({addr}): it does not serve yet")),
        Ok(s) if s.configuration.version < version => {
            Some(format!("{name} ({addr}): it has version {}", s.configuration.version))
        }
        Ok(_) => None,
    }
}

fn kind_and_name(obj: &AnyObject) -> String {
    format!("{}/{}", obj.kind, obj.metadata.name)
}

fn version_of(obj: &AnyObject) -> Version {
    obj.metadata.resource_version.parse().unwrap_or(0)
}
