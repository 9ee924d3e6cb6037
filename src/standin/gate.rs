//! TCP proxy for fault injection in front of a stand-in: refuses, cuts or stalls connections.

use std::{io, net::SocketAddr};

use anyhow::{Context, Result};
use tokio::{
    io::copy_bidirectional,
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinHandle,
};

/// How the proxy treats connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Forwards bytes.
    Open,
    /// Refuses new connections and cuts open ones.
    Refuse,
    /// Accepts new connections but forwards nothing on them until the mode changes.
    Stall,
}

/// TCP proxy in front of one server.
#[derive(Debug)]
pub struct FaultProxy {
    addr: SocketAddr,
    mode: watch::Sender<Mode>,
    cuts: watch::Sender<u64>,
    task: JoinHandle<()>,
}

impl FaultProxy {
    /// Starts a proxy for `target` on loopback; each change of `crashes` cuts all connections.
    ///
    /// # Errors
    /// If no port is available.
    pub async fn start(target: SocketAddr, crashes: Option<watch::Receiver<u64>>) -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.context("could not listen on loopback")?;
        let addr = listener.local_addr()?;
        let mode = watch::Sender::new(Mode::Open);
        let cuts = watch::Sender::new(0);
        let accept = Acceptor { addr, target, mode: mode.subscribe(), cuts: cuts.clone() };
        let task = tokio::spawn(accept.run(listener));
        if let Some(mut crashes) = crashes {
            let cuts = cuts.clone();
            tokio::spawn(async move {
                while crashes.changed().await.is_ok() {
                    cuts.send_modify(|n| *n += 1);
                }
            });
        }
        Ok(Self { addr, mode, cuts, task })
    }

    /// Address of the proxy.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Changes the mode and waits until the proxy refuses or accepts connections accordingly.
    ///
    /// # Errors
    /// If the proxy has stopped.
    pub async fn set_mode(&self, mode: Mode) -> Result<()> {
        self.mode.send_replace(mode);
        if mode == Mode::Refuse {
            self.cut_connections();
        }
        loop {
            let refused = TcpStream::connect(self.addr).await.is_err();
            if refused == (mode == Mode::Refuse) {
                return Ok(());
            }
            anyhow::ensure!(!self.task.is_finished(), "the proxy has stopped");
            tokio::task::yield_now().await;
        }
    }

    /// Cuts all open connections.
    pub fn cut_connections(&self) {
        self.cuts.send_modify(|n| *n += 1);
    }

    /// Stops the proxy and cuts all connections.
    pub fn close(self) {
        self.cut_connections();
        self.task.abort();
    }
}

struct Acceptor {
    addr: SocketAddr,
    target: SocketAddr,
    mode: watch::Receiver<Mode>,
    cuts: watch::Sender<u64>,
}

impl Acceptor {
    async fn run(mut self, mut listener: TcpListener) {
        let mut refuse = self.mode.clone();
        loop {
            tokio::select! {
                conn = listener.accept() => {
                    if let Ok((conn, _)) = conn {
                        tokio::spawn(forward(conn, self.target, self.mode.clone(), self.cuts.subscribe()));
                    }
                }
                refused = async { refuse.wait_for(|m| *m == Mode::Refuse).await.is_ok() } => {
                    if !refused {
                        return;
                    }
                    drop(listener);
                    match self.rebind().await {
                        Ok(rebound) => listener = rebound,
                        Err(_) => return,
                    }
                }
            }
        }
    }

    async fn rebind(&mut self) -> Result<TcpListener> {
        self.mode.wait_for(|m| *m != Mode::Refuse).await.map(drop)?;
        loop {
            match TcpListener::bind(self.addr).await {
                Ok(listener) => return Ok(listener),
                Err(e) if e.kind() == io::ErrorKind::AddrInUse => tokio::task::yield_now().await,
                Err(e) => return Err(e.into()),
            }
        }
    }
}

async fn forward(
    mut conn: TcpStream,
    target: SocketAddr,
    mut mode: watch::Receiver<Mode>,
    mut cuts: watch::Receiver<u64>,
) {
    let copying = async {
        if mode.wait_for(|m| *m != Mode::Stall).await.is_err() {
            return;
        }
        let Ok(mut server) = TcpStream::connect(target).await else { return };
        let _ = copy_bidirectional(&mut conn, &mut server).await;
    };
    tokio::select! {
        () = copying => {}
        _ = cuts.changed() => {}
    }
}
