//! What `make example-registry` plays beside the instance: a registry, endpoints, and a client.

use larchdale::registry::record::{State, StoredRecord};
use larchdale_test_support::clients::Client;
use larchdale_test_support::endpoints::{Endpoint, Notes};
use larchdale_test_support::registry::Registry;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

const PREFIX: &str = "/larchdale/example/";
const INSTANCE: &str = "127.0.0.1:9090";
/// The example ends by itself after this long.
const MOST: Duration = Duration::from_secs(60);

type Failure = Box<dyn std::error::Error>;

fn main() -> Result<(), Failure> {
    match std::env::args().nth(1).as_deref() {
        Some("serve") => serve(),
        Some("await") => wait(std::env::args().nth(2).ok_or("await whom?")?.parse()?),
        Some("ask") => ask(),
        _ => Err("usage: registry-example serve | await ADDRESS | ask".into()),
    }
}

fn serve() -> Result<(), Failure> {
    let notes = Notes::default();
    let mut endpoints = Vec::new();
    let kinds =
        [("box-1", "small-box"), ("box-2", "small-box"), ("box-3", "small-box"), ("archive", "origin")];
    // The members come last: who finds them finds all else.
    for (id, _) in kinds {
        endpoints.push(Endpoint::start(id, &notes)?);
    }
    let ports = [9471, 9472, 9473].map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    let registry = Registry::start_at(&ports)?;
    for (endpoint, (id, kind)) in endpoints.iter().zip(kinds) {
        let zone = if kind == "origin" { "hub" } else { "branch" }.to_owned();
        let (kind, address) = (kind.to_owned(), endpoint.address);
        let record =
            StoredRecord { address, kind, zone, state: State::Ready, cell: 0, weight: 20.0, started_ms: 1 };
        let value = serde_json::to_vec(&record)?;
        registry.with(|s| s.put(format!("{PREFIX}{id}").as_bytes(), &value, 0));
    }
    std::thread::sleep(MOST);
    Ok(())
}

fn wait(address: SocketAddr) -> Result<(), Failure> {
    let until = Instant::now() + MOST / 6;
    while let Err(e) = TcpStream::connect(address) {
        if Instant::now() >= until {
            return Err(e.into());
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    Ok(())
}

/// Asks for two seconds and says who answered how often.
fn ask() -> Result<(), Failure> {
    let mut client = Client::connect(INSTANCE.parse()?)?;
    let (began, seed) = (Instant::now(), std::process::id());
    let (mut sent, mut bodies) = (0u64, std::collections::BTreeMap::<String, u32>::new());
    while began.elapsed() < Duration::from_secs(2) {
        sent += 1;
        let trace = u64::from(seed) << 32 | sent;
        client.ask("images", trace, trace.wrapping_mul(0x9e37_79b9_7f4a_7c15), 1_500)?;
        client.hear(Duration::from_millis(10))?;
        for body in client.bodies.drain(..) {
            *bodies.entry(body).or_default() += 1;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    for (body, count) in bodies {
        println!("{count:>5} answers {body}");
    }
    Ok(())
}
