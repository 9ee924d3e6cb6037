//! What operators' commands share: addresses, exit codes, and questions to routers.

use std::{collections::BTreeMap, net::SocketAddr, process::ExitCode, time::Duration};

use anyhow::{Context, Result, bail, ensure};
use http::Method;

use crate::{client::Client, objects::Platform, operate::Status};

/// Exit codes of commands, from the best to the worst outcome; docs/OPERATORS.md lists them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Exit {
    /// All was done.
    Done = 0,
    /// It failed in a way that has no code of its own.
    Failed = 1,
    /// The input is wrong; nothing was written.
    Invalid = 2,
    /// Another write came first.
    Conflict = 3,
    /// No answer came; the write may have taken effect.
    Unknown = 4,
    /// Not all live routers had the version in force in time.
    NotInForce = 5,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        ExitCode::from(exit as u8)
    }
}

const TIMEOUT: Duration = Duration::from_secs(2);

/// Runs a command's future to its end.
pub(crate) fn block_on<T>(work: impl Future<Output = Result<T>>) -> Result<T> {
    tokio::runtime::Runtime::new().context("could not start the runtime")?.block_on(work)
}

/// Client of the platform at the address of `--platform`.
pub(crate) fn platform(text: &str) -> Result<Platform> {
    Ok(Platform::new(address("--platform", text)?))
}

/// Parses an address given to an option.
pub(crate) fn address(option: &str, text: &str) -> Result<SocketAddr> {
    ensure!(!text.is_empty(), "{option} is missing");
    text.parse().with_context(|| format!("{option} is no IP address and port: {text:?}"))
}

/// Parses the addresses of `--router`.
pub(crate) fn routers(texts: &[String]) -> Result<Vec<SocketAddr>> {
    ensure!(!texts.is_empty(), "--router is missing");
    texts.iter().map(|text| address("--router", text)).collect()
}

/// What a router answers to `GET /v1/status`.
pub(crate) async fn status(client: &Client, addr: SocketAddr) -> Result<Status> {
    let url = format!("http://{addr}/v1/status");
    let (code, value) = client.json(Method::GET, &url, None, TIMEOUT).await?;
    if code != 200 {
        bail!("{addr} answered {code}");
    }
    serde_json::from_value(value).context("could not parse the status")
}

/// A router that was asked.
#[derive(Debug)]
pub(crate) struct Asked {
    /// Name; empty when it is not known.
    pub(crate) name: String,
    /// Its answer.
    pub(crate) status: Result<Status>,
}

/// Asks the given routers and all live ones that they name.
pub(crate) async fn ask_all(client: &Client, first: &[SocketAddr]) -> BTreeMap<SocketAddr, Asked> {
    let mut asked = BTreeMap::new();
    let mut next: Vec<_> = first.iter().map(|addr| (*addr, String::new())).collect();
    while !next.is_empty() {
        let answers = next.iter().map(|(addr, _)| status(client, *addr));
        let answers = futures_util::future::join_all(answers).await;
        for ((addr, name), status) in std::mem::take(&mut next).into_iter().zip(answers) {
            let name = status.as_ref().map_or(name, |s| s.router.name.clone());
            asked.insert(addr, Asked { name, status });
        }
        let named = asked.values().filter_map(|a| a.status.as_ref().ok()).flat_map(|s| &s.routers);
        let mut found: BTreeMap<_, _> = named.filter_map(|r| Some((r.address?, r.name.clone()))).collect();
        found.retain(|addr, _| !asked.contains_key(addr));
        next = found.into_iter().collect();
    }
    asked
}
