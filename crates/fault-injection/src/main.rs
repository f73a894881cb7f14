//! The relay as a program: `fault-injection SCHEDULE.json LISTEN...` stands between processes that listen at these addresses
//! until its standard input ends, ten minutes at most. It prints one line of JSON for each: its `peers` and `peers_all`.

use fault_injection::{datagram_relay::Relay, Schedule};
use std::io::Read;
use std::net::SocketAddr;
use std::process::ExitCode;

fn run() -> Result<(), String> {
    let mut words = std::env::args().skip(1);
    let file = words.next().ok_or("usage: fault-injection SCHEDULE.json LISTEN...")?;
    let text = std::fs::read_to_string(&file).map_err(|e| format!("can't read {file}: {e}"))?;
    let schedule = Schedule::parse(&text).map_err(|e| format!("{file}: {e}"))?;
    let listen = words.map(|w| w.parse::<SocketAddr>().map_err(|e| format!("{w}: {e}")));
    let listen = listen.collect::<Result<Vec<_>, _>>()?;
    if let Some(other) = listen.iter().find(|l| !l.ip().is_loopback()) {
        return Err(format!("{other}: only loopback addresses are relayed"));
    }
    let relay = Relay::start(&listen, &schedule).map_err(|e| format!("can't start: {e}"))?;
    for (number, own) in listen.iter().enumerate() {
        let (peers, all) = (relay.peers(number), relay.broadcast(number));
        println!("{}", serde_json::json!({"peer_listen": own, "peers": peers, "peers_all": all}));
    }
    let _ = std::io::stdin().read_to_end(&mut Vec::new());
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("fault-injection: {e}");
            ExitCode::FAILURE
        }
    }
}
