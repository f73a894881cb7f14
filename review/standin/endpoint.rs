//! A sound endpoint (cache, parent or origin): answers each `want` with the bytes of the object, in any number on one
//! connection. What an object's bytes are follows from its id and the size that the run gives to all objects.

use crate::record::Record;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Bytes of an object: its id again and again.
pub fn object_bytes(object: &str, size: usize) -> Vec<u8> {
    object.bytes().cycle().take(size).collect()
}

/// A free port of a loopback address that this process alone uses, so that no connection takes the port meanwhile.
pub fn own_address() -> SocketAddr {
    let process = std::process::id();
    SocketAddr::from(([127, 1 + (process % 250) as u8, (process / 250 % 250) as u8, 1], 0))
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |age| age.as_millis() as u64)
}

/// One attempt that came whole to an endpoint.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub endpoint: &'static str,
    /// The endpoint from which a miss is to be filled.
    pub source: Option<String>,
    pub at_ms: u64,
}

/// All attempts that came to any endpoint, in their order.
#[derive(Clone, Default)]
pub struct Runs(Arc<Mutex<Vec<Run>>>);

impl Runs {
    pub fn all(&self) -> Vec<Run> {
        self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).clone()
    }

    fn add(&self, run: Run) {
        self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).push(run);
    }
}

/// How an endpoint behaves.
#[derive(Clone, Copy)]
pub struct Nature {
    pub name: &'static str,
    pub object_size: usize,
    /// Time from the arrival of a request to its answer.
    pub work: Duration,
}

/// A running endpoint.
#[derive(Clone)]
pub struct Endpoint {
    pub address: SocketAddr,
    nature: Nature,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    runs: Runs,
    record: Record,
}

impl Endpoint {
    /// Starts an endpoint on a free port of a loopback address.
    pub fn start(nature: Nature, runs: &Runs, record: &Record) -> io::Result<Self> {
        let listener = TcpListener::bind(own_address())?;
        let endpoint = Endpoint {
            address: listener.local_addr()?,
            nature,
            connections: Arc::default(),
            runs: runs.clone(),
            record: record.clone(),
        };
        let accepting = endpoint.clone();
        thread::spawn(move || accepting.accept(listener));
        Ok(endpoint)
    }

    fn accept(self, listener: TcpListener) {
        for stream in listener.incoming().flatten() {
            let endpoint = self.clone();
            thread::spawn(move || {
                if let Err(error) = endpoint.serve(stream) {
                    endpoint
                        .record
                        .line(&format!("endpoint {}: connection ended: {error}", endpoint.nature.name));
                }
            });
        }
    }

    /// Resets all connections under their requests; the endpoint stays up.
    pub fn reset_connections(&self) {
        self.record.line(&format!("endpoint {}: resets its connections", self.nature.name));
        for stream in std::mem::take(&mut *self.lock_connections()) {
            reset(&stream);
        }
    }

    fn lock_connections(&self) -> MutexGuard<'_, Vec<TcpStream>> {
        self.connections.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        self.lock_connections().push(stream.try_clone()?);
        let output = Arc::new(Mutex::new(stream.try_clone()?));
        let mut input = BufReader::new(stream);
        while let Some(command) = read_command(&mut input)? {
            let text =
                |index: usize| command.get(index).map(|bytes| String::from_utf8_lossy(bytes).into_owned());
            match (text(0).as_deref(), text(1), text(2)) {
                (Some("want"), Some(id), Some(fields)) => self.run(id, fields, &output)?,
                (Some("never_mind"), Some(id), _) => {
                    self.record.line(&format!("endpoint {}: cancelled {id}", self.nature.name));
                }
                (Some("there" | "busy"), Some(tag), _) => write(&output, &answer(&tag, "yes", "-", b""))?,
                _ => return Err(io::Error::other("unknown command")),
            }
        }
        Ok(())
    }

    fn run(&self, id: String, fields: String, output: &Arc<Mutex<TcpStream>>) -> io::Result<()> {
        let name = self.nature.name;
        self.record.line(&format!("endpoint {name}: ran {id} {fields}"));
        self.runs.add(Run {
            id: id.clone(),
            endpoint: name,
            source: field(&fields, "via"),
            at_ms: self.record.now_ms(),
        });
        let (object_size, work, output) = (self.nature.object_size, self.nature.work, output.clone());
        let finish = move || {
            let object = field(&fields, "k").unwrap_or_default();
            let body = object_bytes(&object, object_size);
            let fields = format!("tag=t{object},minted={},note=hit", unix_ms());
            write(&output, &answer(&id, "ok", &fields, &body))
        };
        if work.is_zero() {
            return finish();
        }
        thread::spawn(move || {
            thread::sleep(work);
            finish()
        });
        Ok(())
    }
}

extern "C" {
    fn connect(socket: i32, address: *const u8, length: u32) -> i32;
}

/// Resets a connection at once. The standard library has no call for it: a connect to an address of no family ends a
/// TCP connection with a reset.
fn reset(stream: &TcpStream) {
    const ADDRESS_OF_NO_FAMILY: [u8; 16] = [0; 16];
    // SAFETY: the descriptor is open while `stream` lives, and the address has the length that is passed.
    unsafe { connect(stream.as_raw_fd(), ADDRESS_OF_NO_FAMILY.as_ptr(), ADDRESS_OF_NO_FAMILY.len() as u32) };
}

fn write(output: &Mutex<TcpStream>, bytes: &[u8]) -> io::Result<()> {
    output.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).write_all(bytes)
}

fn field(fields: &str, name: &str) -> Option<String> {
    let pairs = fields.split(',').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|pair| pair.0 == name).map(|pair| pair.1.to_owned())
}

fn answer(id: &str, status: &str, fields: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = b"*4\r\n".to_vec();
    for string in [id.as_bytes(), status.as_bytes(), fields.as_bytes(), body] {
        bytes.extend(format!("${}\r\n", string.len()).as_bytes());
        bytes.extend(string);
        bytes.extend(b"\r\n");
    }
    bytes
}

/// Reads one array of bulk strings; `None` at the end of the connection.
fn read_command(input: &mut impl BufRead) -> io::Result<Option<Vec<Vec<u8>>>> {
    let Some(count) = read_length(input, b'*')? else { return Ok(None) };
    let mut strings = Vec::new();
    for _ in 0..count {
        let length = read_length(input, b'$')?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let mut bytes = vec![0; length + 2];
        input.read_exact(&mut bytes)?;
        bytes.truncate(length);
        strings.push(bytes);
    }
    Ok(Some(strings))
}

fn read_length(input: &mut impl BufRead, kind: u8) -> io::Result<Option<usize>> {
    let mut line = Vec::new();
    if input.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    let digits = line.strip_prefix(&[kind]).map(|rest| String::from_utf8_lossy(rest).trim().to_owned());
    let length = digits.and_then(|digits| digits.parse().ok());
    length.map(Some).ok_or_else(|| io::Error::other("not a command"))
}
