//! Shared code of the operators' commands: exit codes, parsing of addresses, and status queries to routers.

use std::{collections::BTreeMap, net::SocketAddr, process::ExitCode, time::Duration};

use anyhow::{Context, Result, bail, ensure};
use http::Method;

use crate::{client::Client, objects::Platform, operate::Status};

/// Exit codes of commands, from best to worst; docs/OPERATORS.md lists them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Exit {
    /// Success.
    Done = 0,
    /// Failure without a more specific code.
    Failed = 1,
    /// The input is invalid; nothing was written.
    Invalid = 2,
    /// Another write came first.
    Conflict = 3,
    /// No response was received; the write may have taken effect.
    Unknown = 4,
    /// Not all live routers had the version in force before the timeout.
    NotInForce = 5,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        ExitCode::from(exit as u8)
    }
}

const STATUS_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs a command's future to completion.
pub(crate) fn block_on<T>(work: impl Future<Output = Result<T>>) -> Result<T> {
    tokio::runtime::Runtime::new().context("could not start the runtime")?.block_on(work)
}

/// Creates a client of the platform at the address given to `--platform`.
pub(crate) fn platform(text: &str) -> Result<Platform> {
    Ok(Platform::new(address("--platform", text)?))
}

/// Parses an address given to an option.
pub(crate) fn address(option: &str, text: &str) -> Result<SocketAddr> {
    ensure!(!text.is_empty(), "{option} is missing");
    text.parse().with_context(|| format!("{option} is not an IP address and port: {text:?}"))
}

/// Parses the addresses given to `--router`.
pub(crate) fn routers(texts: &[String]) -> Result<Vec<SocketAddr>> {
    ensure!(!texts.is_empty(), "--router is missing");
    texts.iter().map(|text| address("--router", text)).collect()
}

/// Fetches the status of a router from `GET /v1/status`.
pub(crate) async fn status(client: &Client, addr: SocketAddr) -> Result<Status> {
    let url = format!("http://{addr}/v1/status");
    let (code, value) = client.json(Method::GET, &url, None, STATUS_TIMEOUT).await?;
    if code != 200 {
        bail!("{addr} responded with status {code}");
    }
    serde_json::from_value(value).context("could not parse the status")
}

/// Result of a status query to a router.
#[derive(Debug)]
pub(crate) struct QueryResult {
    /// Name; empty if unknown.
    pub(crate) name: String,
    /// Its status, or the error of the query.
    pub(crate) status: Result<Status>,
}

/// Queries the status of the given routers and of all live routers that they report, transitively.
pub(crate) async fn query_all(client: &Client, first: &[SocketAddr]) -> BTreeMap<SocketAddr, QueryResult> {
    let mut results = BTreeMap::new();
    let mut next: Vec<_> = first.iter().map(|addr| (*addr, String::new())).collect();
    while !next.is_empty() {
        let answers = next.iter().map(|(addr, _)| status(client, *addr));
        let answers = futures_util::future::join_all(answers).await;
        for ((addr, name), status) in std::mem::take(&mut next).into_iter().zip(answers) {
            let name = status.as_ref().map_or(name, |s| s.router.name.clone());
            results.insert(addr, QueryResult { name, status });
        }
        let named = results.values().filter_map(|a| a.status.as_ref().ok()).flat_map(|s| &s.routers);
        let mut found: BTreeMap<_, _> = named.filter_map(|r| Some((r.address?, r.name.clone()))).collect();
        found.retain(|addr, _| !results.contains_key(addr));
        next = found.into_iter().collect();
    }
    results
}
