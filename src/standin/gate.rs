//! A TCP gate before a stand-in: can refuse connections, cut those that are open, and hold bytes back.

use std::{io, net::SocketAddr};

use anyhow::{Context, Result};
use tokio::{
    io::copy_bidirectional,
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinHandle,
};

/// What a gate does with connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Passes bytes on.
    Open,
    /// Refuses new connections and cuts those that are open.
    Refuse,
    /// Accepts connections and passes no byte on.
    Stall,
}

/// A gate before one server.
#[derive(Debug)]
pub struct FaultProxy {
    addr: SocketAddr,
    mode: watch::Sender<Mode>,
    cuts: watch::Sender<u64>,
    task: JoinHandle<()>,
}

impl FaultProxy {
    /// Opens a gate on loopback before `target`; a change of `crashes` cuts all connections.
    ///
    /// # Errors
    /// When no port can be had.
    pub async fn start(target: SocketAddr, crashes: Option<watch::Receiver<u64>>) -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.context("could not listen on loopback")?;
        let addr = listener.local_addr()?;
        let mode = watch::Sender::new(Mode::Open);
        let cuts = watch::Sender::new(0);
        let accept = Accept { addr, target, mode: mode.subscribe(), cuts: cuts.clone() };
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

    /// Address of the gate.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Changes the mode; waits until connections are refused, or accepted again.
    ///
    /// # Errors
    /// When the gate has ended.
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
            anyhow::ensure!(!self.task.is_finished(), "the gate has ended");
            tokio::task::yield_now().await;
        }
    }

    /// Cuts all open connections.
    pub fn cut_connections(&self) {
        self.cuts.send_modify(|n| *n += 1);
    }

    /// Closes the gate.
    pub fn close(self) {
        self.cut_connections();
        self.task.abort();
    }
}

struct Accept {
    addr: SocketAddr,
    target: SocketAddr,
    mode: watch::Receiver<Mode>,
    cuts: watch::Sender<u64>,
}

impl Accept {
    async fn run(mut self, mut listener: TcpListener) {
        let mut refuse = self.mode.clone();
        loop {
            tokio::select! {
                conn = listener.accept() => {
                    if let Ok((conn, _)) = conn {
                        tokio::spawn(pass(conn, self.target, self.mode.clone(), self.cuts.subscribe()));
                    }
                }
                refused = async { refuse.wait_for(|m| *m == Mode::Refuse).await.is_ok() } => {
                    if !refused {
                        return;
                    }
                    drop(listener);
                    match self.reopen().await {
                        Ok(again) => listener = again,
                        Err(_) => return,
                    }
                }
            }
        }
    }

    async fn reopen(&mut self) -> Result<TcpListener> {
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

async fn pass(
    mut conn: TcpStream,
    target: SocketAddr,
    mut mode: watch::Receiver<Mode>,
    mut cuts: watch::Receiver<u64>,
) {
    let work = async {
        if mode.wait_for(|m| *m != Mode::Stall).await.is_err() {
            return;
        }
        let Ok(mut inner) = TcpStream::connect(target).await else { return };
        let _ = copy_bidirectional(&mut conn, &mut inner).await;
    };
    tokio::select! {
        () = work => {}
        _ = cuts.changed() => {}
    }
}
