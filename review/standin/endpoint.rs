//! A sound endpoint (cache, parent or origin): answers each `want` with the bytes of the object, in any number on one
//! connection. What an object's bytes are follows from its id and the size that the run gives to all objects.

use crate::record::Record;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{SystemTime, UNIX_EPOCH};

/// Bytes of an object: its id again and again.
pub fn object_bytes(object: &str, size: usize) -> Vec<u8> {
    object.bytes().cycle().take(size).collect()
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |age| age.as_millis() as u64)
}

/// Starts an endpoint on a free port of a loopback address.
pub fn start(name: &'static str, object_size: usize, record: &Record) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let record = record.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let record = record.clone();
            thread::spawn(move || {
                if let Err(error) = serve(name, stream, object_size, &record) {
                    record.line(&format!("endpoint {name}: connection ended: {error}"));
                }
            });
        }
    });
    Ok(address)
}

fn serve(name: &str, stream: TcpStream, object_size: usize, record: &Record) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut output = stream.try_clone()?;
    let mut input = BufReader::new(stream);
    while let Some(command) = read_command(&mut input)? {
        let text = |index: usize| command.get(index).map(|bytes| String::from_utf8_lossy(bytes).into_owned());
        match (text(0).as_deref(), text(1), text(2)) {
            (Some("want"), Some(id), Some(fields)) => {
                record.line(&format!("endpoint {name}: ran {id} {fields}"));
                let object = field(&fields, "k").unwrap_or_default();
                let body = object_bytes(&object, object_size);
                let fields = format!("tag=t{object},minted={},note=hit", unix_ms());
                output.write_all(&answer(&id, "ok", &fields, &body))?;
            }
            (Some("never_mind"), Some(id), _) => record.line(&format!("endpoint {name}: cancelled {id}")),
            (Some("there" | "busy"), Some(tag), _) => output.write_all(&answer(&tag, "yes", "-", b""))?,
            _ => return Err(io::Error::other("unknown command")),
        }
    }
    Ok(())
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
