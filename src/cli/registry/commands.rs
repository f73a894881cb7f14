//! The `registry` subcommands, run on a connection to the registry.

use super::output::{endpoint_line, id_text, state_name};
use super::{Client, Command, PutOptions};
use crate::cli::error::CommandError;
use crate::registry::grpc::ChannelEvent;
use crate::registry::keys::{is_valid_id, key_after, range_end};
use crate::registry::messages::{
    path, request_op, watch_request, DeleteRangeRequest, Event, LeaseGrantRequest, LeaseGrantResponse,
    PutRequest, RangeRequest, RangeResponse, WatchCreateRequest, WatchRequest, WatchResponse,
};
use crate::registry::record::{State, StoredRecord};
use prost::Message;

/// Number of keys requested per page.
const PAGE_KEYS: i64 = 500;
/// Type of an event that writes its key; every other type is a deletion.
const EVENT_PUT: i32 = 0;

pub(super) fn run(client: &mut Client, prefix: &str, command: Command) -> Result<(), CommandError> {
    match command {
        Command::Ls => list(client, prefix),
        Command::Watch { count } => watch(client, prefix, count.unwrap_or(usize::MAX)),
        Command::Put(options) => put(client, prefix, options),
        Command::Drain { id } => set_state(client, prefix, &id, State::Draining),
        Command::Ready { id } => set_state(client, prefix, &id, State::Ready),
        Command::Remove { id } => remove(client, prefix, &id),
    }
}

fn key_of(prefix: &str, id: &str) -> Result<Vec<u8>, CommandError> {
    if !is_valid_id(id) {
        return Err(CommandError::InvalidId(id.to_owned()));
    }
    Ok(format!("{prefix}{id}").into_bytes())
}

/// Commits an operation if the key still has the mod revision that was read, and returns the new revision.
fn change(
    client: &mut Client,
    key: &[u8],
    mod_revision: i64,
    operation: request_op::Request,
) -> Result<i64, CommandError> {
    client.commit(key, mod_revision, vec![operation])?.ok_or(CommandError::RecordChanged)
}

fn list(client: &mut Client, prefix: &str) -> Result<(), CommandError> {
    let mut request = RangeRequest {
        key: prefix.as_bytes().to_vec(),
        range_end: range_end(prefix.as_bytes()),
        limit: PAGE_KEYS,
        ..RangeRequest::default()
    };
    loop {
        let page: RangeResponse = client.call(path::RANGE, &request)?;
        page.kvs.iter().for_each(|kv| println!("{}", endpoint_line(prefix, kv)));
        let Some(last) = page.kvs.last().filter(|_| page.more) else {
            let revision = page.header.map_or(0, |header| header.revision);
            println!("{} depots at revision {revision}", page.count);
            return Ok(());
        };
        request.key = key_after(&last.key);
    }
}

fn watch(client: &mut Client, prefix: &str, max_changes: usize) -> Result<(), CommandError> {
    let create = WatchCreateRequest {
        key: prefix.as_bytes().to_vec(),
        range_end: range_end(prefix.as_bytes()),
        ..WatchCreateRequest::default()
    };
    client.open_watch(&WatchRequest { request: Some(watch_request::Request::Create(create)) });
    let mut printed = 0;
    while printed < max_changes {
        // A wait that times out is normal on a watch without changes.
        for event in client.wait(None)?.into_iter().flatten() {
            printed += match event {
                ChannelEvent::Message { bytes, .. } => print_changes(prefix, &WatchResponse::decode(bytes)?)?,
                ChannelEvent::Ended { status, .. } => return Err(CommandError::CallFailed(status)),
                ChannelEvent::Closed { reason } => return Err(CommandError::ConnectionClosed(reason)),
            };
        }
    }
    Ok(())
}

/// Prints the changes in a watch response and returns their number.
fn print_changes(prefix: &str, message: &WatchResponse) -> Result<usize, CommandError> {
    if message.canceled {
        return Err(CommandError::WatchCancelled(message.cancel_reason.clone()));
    }
    let mut printed = 0;
    for Event { kind, kv, .. } in &message.events {
        let Some(kv) = kv else { continue };
        if *kind == EVENT_PUT {
            println!("{}", endpoint_line(prefix, kv));
        } else {
            println!("{:<24} removed at revision {}", id_text(prefix, &kv.key), kv.mod_revision);
        }
        printed += 1;
    }
    Ok(printed)
}

fn put(client: &mut Client, prefix: &str, options: PutOptions) -> Result<(), CommandError> {
    let PutOptions { id, address, kind, zone, cell, weight, started_ms, lease } = options;
    let key = key_of(prefix, &id)?;
    let record = StoredRecord { address, kind, zone, state: State::Ready, cell, weight, started_ms };
    let lease = match lease {
        None => 0,
        Some(ttl) => {
            let request = LeaseGrantRequest { ttl, id: 0 };
            client.call::<LeaseGrantResponse>(path::LEASE_GRANT, &request)?.id
        }
    };
    let mod_revision = client.get(&key)?.map_or(0, |kv| kv.mod_revision);
    let value = serde_json::to_vec(&record).map_err(CommandError::UnwritableRecord)?;
    let request = PutRequest { key: key.clone(), value, lease };
    let revision = change(client, &key, mod_revision, request_op::Request::Put(request))?;
    println!("{id} written at revision {revision}");
    Ok(())
}

/// Changes the state in a record and keeps all its other fields, including those that this version doesn't know.
fn set_state(client: &mut Client, prefix: &str, id: &str, state: State) -> Result<(), CommandError> {
    let key = key_of(prefix, id)?;
    let kv = client.get(&key)?.ok_or_else(|| CommandError::NotListed(id.to_owned()))?;
    let unreadable = |source| CommandError::UnreadableRecord { id: id.to_owned(), source };
    let mut json: serde_json::Value = serde_json::from_slice(&kv.value).map_err(unreadable)?;
    let record: StoredRecord = serde_json::from_slice(&kv.value).map_err(unreadable)?;
    let name = state_name(state);
    if record.state == state {
        println!("{id} is {name} already, since revision {}", kv.mod_revision);
        return Ok(());
    }
    json["state"] = name.into();
    let value = json.to_string().into_bytes();
    let request = PutRequest { key: key.clone(), value, lease: kv.lease };
    let revision = change(client, &key, kv.mod_revision, request_op::Request::Put(request))?;
    println!("{id} is {name} from revision {revision} on");
    Ok(())
}

fn remove(client: &mut Client, prefix: &str, id: &str) -> Result<(), CommandError> {
    let key = key_of(prefix, id)?;
    let kv = client.get(&key)?.ok_or_else(|| CommandError::NotListed(id.to_owned()))?;
    let request = DeleteRangeRequest { key: key.clone(), range_end: Vec::new() };
    let revision = change(client, &key, kv.mod_revision, request_op::Request::Delete(request))?;
    println!("{id} removed at revision {revision}");
    Ok(())
}
