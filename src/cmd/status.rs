//! `status`: prints the live routers, the version that each has in force, and invalid objects.

use std::{collections::BTreeMap, net::SocketAddr, process::ExitCode};

use anyhow::{Result, bail};
use gumdrop::Options;

use super::{
    Run,
    remote::{self, QueryResult},
};
use crate::client::Client;

/// Prints the live routers, the version that each has in force, and invalid objects.
#[derive(Debug, Options)]
pub(crate) struct Status {
    #[options(help = "print this help")]
    help: bool,
    #[options(short = "o", meta = "FORMAT", help = "json; a table without it")]
    output: String,
    #[options(no_short, meta = "ADDR", help = "a router, to find all others; may be given several times")]
    router: Vec<String>,
}

impl Run for Status {
    fn run(&self) -> Result<ExitCode> {
        let routers = remote::routers(&self.router)?;
        let results = remote::block_on(async { Ok(remote::query_all(&Client::default(), &routers).await) })?;
        match self.output.as_str() {
            "" => print!("{}", format_table(&results)),
            "json" => println!("{}", serde_json::to_string_pretty(&to_json(&results))?),
            other => bail!("unknown output format `{other}`; expected json"),
        }
        if results.values().all(|a| a.status.is_err()) {
            bail!("no router responded");
        }
        Ok(ExitCode::SUCCESS)
    }
}

fn format_table(results: &BTreeMap<SocketAddr, QueryResult>) -> String {
    let mut text = format!(
        "{:<16} {:<12} {:<22} {:>8} {:<6} {:<6} {}\n",
        "ROUTER", "DATA CENTRE", "ADDRESS", "VERSION", "READY", "WATCH", "STATE"
    );
    for (addr, a) in results {
        let line = match &a.status {
            Err(e) => format!("{:<16} {:<12} {addr:<22} no answer: {e:#}\n", a.name, ""),
            Ok(s) => {
                let c = &s.configuration;
                let state = if s.router.leaving { "leaving" } else { "" };
                format!(
                    "{:<16} {:<12} {addr:<22} {:>8} {:<6} {:<6} {state}\n",
                    a.name, s.router.data_centre, c.version, c.ready, c.holds_watch
                )
            }
        };
        text += &line;
    }
    text + &format_invalid(results)
}

/// Lists the invalid objects that the routers report, each once.
fn format_invalid(results: &BTreeMap<SocketAddr, QueryResult>) -> String {
    let all = results.values().filter_map(|a| a.status.as_ref().ok()).flat_map(|s| &s.bad);
    let by_name: BTreeMap<_, _> = all.map(|b| ((&b.kind, &b.name, b.version), b)).collect();
    let mut text = String::new();
    for b in by_name.values() {
        let kept = b.in_force.map_or("nothing".into(), |v| format!("version {v}"));
        text += &format!("{}/{} version {} is not valid, {kept} stays in force\n", b.kind, b.name, b.version);
        b.problems.iter().for_each(|p| text += &format!("  {p}\n"));
    }
    text
}

fn to_json(results: &BTreeMap<SocketAddr, QueryResult>) -> serde_json::Value {
    let row = |(addr, a): (&SocketAddr, &QueryResult)| match &a.status {
        Ok(status) => serde_json::json!({ "address": addr, "name": a.name, "status": status }),
        Err(e) => serde_json::json!({ "address": addr, "name": a.name, "error": format!("{e:#}") }),
    };
    serde_json::json!({ "routers": results.iter().map(row).collect::<Vec<_>>() })
}
