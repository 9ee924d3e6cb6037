//! `drain`: requests the graceful shutdown of one router.

use std::{net::SocketAddr, path::PathBuf, process::ExitCode, time::Duration};

use anyhow::{Context, Result, bail};
use bytes::Bytes;
use gumdrop::Options;
use http::Request;
use http_body_util::Full;

use super::{Run, remote};
use crate::{client::Client, config::Settings, operate};

const DRAIN_REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Requests the graceful shutdown of one router.
#[derive(Debug, Options)]
pub(crate) struct Drain {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "address of the router, or its name")]
    which: String,
    #[options(required, short = "c", meta = "FILE", help = "settings file of a router, for the shared key")]
    config: PathBuf,
    #[options(no_short, meta = "ADDR", help = "any router, to find the one with the name")]
    router: Vec<String>,
}

impl Run for Drain {
    fn run(&self) -> Result<ExitCode> {
        let cfg = Settings::load(&self.config)?;
        remote::block_on(async {
            let client = Client::default();
            let addr = match self.which.parse() {
                Ok(addr) => addr,
                Err(_) => self.find(&client).await?,
            };
            drain(&client, addr, &cfg.shared_key).await?;
            println!("{addr} is leaving");
            Ok(ExitCode::SUCCESS)
        })
    }
}

impl Drain {
    async fn find(&self, client: &Client) -> Result<SocketAddr> {
        let results = remote::query_all(client, &remote::routers(&self.router)?).await;
        let found = results.iter().find(|(_, a)| a.name == self.which).map(|(addr, _)| *addr);
        found.with_context(|| format!("there is no live router {}", self.which))
    }
}

async fn drain(client: &Client, addr: SocketAddr, shared_key: &str) -> Result<()> {
    let req = Request::post(format!("http://{addr}/v1/drain"))
        .header("authorization", format!("Bearer {}", operate::token(shared_key)))
        .header("content-length", 0)
        .body(Full::new(Bytes::new()))?;
    let response = tokio::time::timeout(DRAIN_REQUEST_TIMEOUT, client.send(req)).await;
    let res = response.with_context(|| format!("request to {addr} timed out"))?;
    let res = res.map_err(|e| anyhow::anyhow!("could not reach {addr}: {e:?}"))?;
    match res.status().as_u16() {
        202 => Ok(()),
        status => bail!("{addr} responded with status {status}"),
    }
}
