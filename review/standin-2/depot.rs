//! Depots (edge caches, parent caches, origin): RESP on TCP. A depot holds every object; a behaviour says when and how it
//! answers.

use crate::base::{unix_ms, Record, Res};
use std::collections::HashSet;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

/// One `want` as it came.
#[derive(Clone, Debug)]
pub struct Want {
    pub depot: String,
    pub id: String,
    pub fields: Vec<(String, String)>,
    pub at_ms: u64,
}

impl Want {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }
}

/// How a depot answers a `want`.
pub struct Reply {
    pub after_ms: u64,
    pub word: &'static str,
    pub fields: String,
    pub body: Vec<u8>,
}

/// The usual good answer: the bytes of the part, with its tag and the time of the copy.
pub fn good(after_ms: u64, want: &Want, bytes: usize) -> Reply {
    let fields = format!("tag={},minted={},note=hit", tag(want), want.at_ms.saturating_sub(1));
    Reply { after_ms, word: "ok", fields, body: body(want, bytes) }
}

fn tag(want: &Want) -> String {
    want.field("k").unwrap_or("0").to_owned()
}

/// The bytes of a part: its object and number, repeated.
pub fn body(want: &Want, bytes: usize) -> Vec<u8> {
    let text = format!("{}/{} ", want.field("k").unwrap_or("-"), want.field("p").unwrap_or("-"));
    text.bytes().cycle().take(bytes).collect()
}

/// Decides on the answer; `None`: none ever comes.
pub type Behaviour = Arc<dyn Fn(&Want) -> Option<Reply> + Send + Sync>;

/// A depot on a port of its own.
#[derive(Clone)]
pub struct Depot {
    pub name: String,
    pub address: SocketAddr,
}

impl Depot {
    pub fn start(name: &str, behaviour: Behaviour, record: &Record) -> Res<Depot> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let depot = Depot { name: name.to_owned(), address: listener.local_addr()? };
        let (serving, record) = (depot.clone(), record.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (depot, behaviour, record) = (serving.clone(), behaviour.clone(), record.clone());
                std::thread::spawn(move || {
                    let _ = depot.serve(stream, &behaviour, &record);
                });
            }
        });
        Ok(depot)
    }

    fn serve(&self, stream: TcpStream, behaviour: &Behaviour, record: &Record) -> Res<()> {
        stream.set_nodelay(true)?;
        let output = Arc::new(Mutex::new(stream.try_clone()?));
        let given_up: Arc<Mutex<HashSet<String>>> = Arc::default();
        let mut input = BufReader::new(stream);
        loop {
            let words = read_command(&mut input)?;
            match words.iter().map(Vec::as_slice).collect::<Vec<_>>()[..] {
                [b"want", id, fields, body] => {
                    let want = Want {
                        depot: self.name.clone(),
                        id: String::from_utf8_lossy(id).into_owned(),
                        fields: parse_fields(&String::from_utf8_lossy(fields)),
                        at_ms: unix_ms(),
                    };
                    let text = String::from_utf8_lossy(fields);
                    record.line(&format!(
                        "run depot={} id={} {text} body={}",
                        self.name,
                        want.id,
                        body.len()
                    ));
                    let Some(reply) = behaviour(&want) else { continue };
                    let (output, given_up) = (output.clone(), given_up.clone());
                    std::thread::Builder::new().stack_size(128 << 10).spawn(move || {
                        std::thread::sleep(std::time::Duration::from_millis(reply.after_ms));
                        let is_given_up = given_up.lock().is_ok_and(|ids| ids.contains(&want.id));
                        if let (false, Ok(mut output)) = (is_given_up, output.lock()) {
                            let _ = output.write_all(&encode(&want.id, &reply));
                        }
                    })?;
                }
                [b"never_mind", id] => {
                    let id = String::from_utf8_lossy(id).into_owned();
                    record.line(&format!("never_mind depot={} id={id}", self.name));
                    if let Ok(mut ids) = given_up.lock() {
                        ids.insert(id);
                    }
                }
                _ => return Err("unknown command".into()),
            }
        }
    }
}

fn parse_fields(text: &str) -> Vec<(String, String)> {
    let pairs = text.split(',').filter_map(|pair| pair.split_once('='));
    pairs.map(|(name, value)| (name.to_owned(), value.to_owned())).collect()
}

fn read_number(input: &mut impl BufRead) -> Res<usize> {
    let mut line = String::new();
    if input.read_line(&mut line)? == 0 {
        return Err("closed".into());
    }
    Ok(line.trim_end().get(1..).ok_or("empty line")?.parse()?)
}

fn read_command(input: &mut impl BufRead) -> Res<Vec<Vec<u8>>> {
    let count = read_number(input)?;
    (0..count)
        .map(|_| {
            let mut word = vec![0; read_number(input)? + 2];
            input.read_exact(&mut word)?;
            word.truncate(word.len() - 2);
            Ok(word)
        })
        .collect()
}

fn encode(id: &str, reply: &Reply) -> Vec<u8> {
    let mut out = b"*4\r\n".to_vec();
    for word in [id.as_bytes(), reply.word.as_bytes(), reply.fields.as_bytes(), &reply.body] {
        out.extend(format!("${}\r\n", word.len()).as_bytes());
        out.extend(word);
        out.extend(b"\r\n");
    }
    out
}
