//! Endpoints that answer at once and note what they are asked, in the endpoints' protocol (RESP arrays).

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// One request, as the endpoint got it.
#[derive(Clone, Debug)]
pub struct Asked {
    /// When it had come.
    pub at: Instant,
    /// Which endpoint got it.
    pub endpoint: String,
    /// The source that it names for a fill.
    pub via: Option<String>,
    /// The request's id.
    pub id: String,
}

/// What all endpoints of a test note in one place.
pub type Notes = Arc<Mutex<Vec<Asked>>>;

/// A running endpoint. It takes no more connections once it is dropped.
pub struct Endpoint {
    /// Its id.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    end: Arc<AtomicBool>,
}

impl Endpoint {
    /// One on a free port of loopback.
    pub fn start(id: &str, notes: &Notes) -> io::Result<Self> {
        Endpoint::start_at(id, SocketAddr::from(([127, 0, 0, 1], 0)), notes)
    }

    /// One at an address.
    pub fn start_at(id: &str, address: SocketAddr, notes: &Notes) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let end = Arc::<AtomicBool>::default();
        let (name, over, notes) = (id.to_owned(), end.clone(), notes.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if over.load(Ordering::SeqCst) {
                    return;
                }
                let (name, notes) = (name.clone(), notes.clone());
                std::thread::spawn(move || serve(stream, &name, &notes));
            }
        });
        Ok(Endpoint { id: id.to_owned(), address, end })
    }
}

impl Drop for Endpoint {
    fn drop(&mut self) {
        self.end.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
    }
}

fn line(input: &mut impl BufRead) -> io::Result<usize> {
    let mut text = String::new();
    input.take(32).read_line(&mut text)?;
    text.trim_end().get(1..).and_then(|t| t.parse().ok()).ok_or(io::ErrorKind::InvalidData.into())
}

fn serve(stream: TcpStream, endpoint: &str, notes: &Notes) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut output = stream.try_clone()?;
    let mut input = BufReader::new(stream);
    loop {
        let mut words = Vec::new();
        for _ in 0..line(&mut input)?.min(8) {
            let mut word = vec![0; line(&mut input)?.min(1 << 20) + 2];
            input.read_exact(&mut word)?;
            word.truncate(word.len() - 2);
            words.push(String::from_utf8_lossy(&word).into_owned());
        }
        let [word, id, fields, _] = &words[..] else { continue };
        if word != "want" {
            continue;
        }
        let via = fields.split(',').find_map(|f| f.strip_prefix("via=")).map(str::to_owned);
        let asked = Asked { at: Instant::now(), endpoint: endpoint.to_owned(), via, id: id.clone() };
        notes.lock().unwrap_or_else(|e| e.into_inner()).push(asked);
        let body = format!("from {endpoint}");
        let mut answer = b"*4\r\n".to_vec();
        for word in [id.as_str(), "ok", "tag=4be0c1927d55a6f3,minted=1,note=hit", &body] {
            answer.extend(format!("${}\r\n{word}\r\n", word.len()).into_bytes());
        }
        output.write_all(&answer)?;
    }
}
