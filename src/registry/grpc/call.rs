//! One open call: the response headers, the messages, and the final status.

use super::channel::ChannelEvent;
use super::framing::decode_message;
use crate::registry::status::{code, Status};
use bytes::{Bytes, BytesMut};
use h2::client::ResponseFuture;
use h2::{RecvStream, SendStream};
use http::HeaderMap;
use std::future::Future;
use std::pin::Pin;
use std::task::{ready, Context, Poll};

/// Maximum number of characters of the peer's status message that are kept.
const MAX_STATUS_MESSAGE_CHARS: usize = 200;

/// A call whose request has been sent.
pub(super) struct Call {
    pub(super) number: u64,
    /// The pending response headers; `None` once they have arrived.
    response: Option<ResponseFuture>,
    requests: SendStream<Bytes>,
    body: Option<RecvStream>,
    /// Received bytes that do not form a complete message yet.
    received: BytesMut,
}

impl Call {
    pub(super) fn new(number: u64, response: ResponseFuture, requests: SendStream<Bytes>) -> Self {
        Call { number, response: Some(response), requests, body: None, received: BytesMut::new() }
    }

    /// Sends a further message. An error is ignored here, because the final status of the call reports it.
    pub(super) fn send(&mut self, message: Bytes) {
        let _ = self.requests.send_data(message, false);
    }

    pub(super) fn cancel(&mut self) {
        self.requests.send_reset(h2::Reason::CANCEL);
    }

    /// Appends the messages that have arrived. Returns the final status once the call has ended.
    pub(super) fn poll(
        &mut self,
        context: &mut Context<'_>,
        max_message_bytes: usize,
        events: &mut Vec<ChannelEvent>,
    ) -> Poll<Status> {
        if let Some(response) = &mut self.response {
            let response = ready!(Pin::new(response).poll(context));
            self.response = None;
            match response_body(response) {
                Ok(body) => self.body = Some(body),
                Err(status) => return Poll::Ready(status),
            }
        }
        while let Some(body) = &mut self.body {
            match ready!(body.poll_data(context)) {
                Some(Err(error)) => return Poll::Ready(broken_connection(&error)),
                Some(Ok(data)) => {
                    if let Err(status) = self.receive(&data, max_message_bytes, events) {
                        return Poll::Ready(status);
                    }
                }
                None => return self.poll_end(context),
            }
        }
        Poll::Pending
    }

    /// Appends the messages that are complete with these further bytes of the body.
    fn receive(
        &mut self,
        data: &Bytes,
        max_message_bytes: usize,
        events: &mut Vec<ChannelEvent>,
    ) -> Result<(), Status> {
        self.received.extend_from_slice(data);
        if let Some(body) = &mut self.body {
            // The maximum message size bounds the buffer, so the flow-control window is reopened at once. Releasing
            // fails only for more bytes than were received.
            let _ = body.flow_control().release_capacity(data.len());
        }
        loop {
            match decode_message(&mut self.received, max_message_bytes) {
                Ok(Some(bytes)) => events.push(ChannelEvent::Message { call: self.number, bytes }),
                Ok(None) => break,
                Err(status) => {
                    self.cancel();
                    return Err(status);
                }
            }
        }
        if self.received.is_empty() {
            // Frees the buffer, which may have grown to the maximum message size.
            self.received = BytesMut::new();
        }
        Ok(())
    }

    /// Reads the status from the trailers after the last message.
    fn poll_end(&mut self, context: &mut Context<'_>) -> Poll<Status> {
        if !self.received.is_empty() {
            return Poll::Ready(Status::new(code::INTERNAL, "the response ended in the middle of a message"));
        }
        let Some(body) = &mut self.body else { return Poll::Pending };
        Poll::Ready(match ready!(body.poll_trailers(context)) {
            Ok(Some(trailers)) => status_in(&trailers).unwrap_or_else(|| {
                Status::new(code::UNKNOWN, "the trailers of the response contain no status")
            }),
            Ok(None) => Status::new(code::UNAVAILABLE, "the response ended without trailers"),
            Err(error) => broken_connection(&error),
        })
    }
}

/// Returns the body of a response, or the status if the headers already contain one or report an HTTP error.
fn response_body(response: Result<http::Response<RecvStream>, h2::Error>) -> Result<RecvStream, Status> {
    let response = response.map_err(|error| broken_connection(&error))?;
    if response.status() != http::StatusCode::OK {
        return Err(Status::new(code::UNAVAILABLE, format!("HTTP status {}", response.status())));
    }
    match status_in(response.headers()) {
        Some(status) => Err(status),
        None => Ok(response.into_body()),
    }
}

/// Returns the gRPC status in headers or trailers, if they contain one.
fn status_in(headers: &HeaderMap) -> Option<Status> {
    let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
    let code = text("grpc-status")?.parse().unwrap_or(code::UNKNOWN);
    let message = text("grpc-message").unwrap_or("");
    Some(Status::new(code, message.chars().take(MAX_STATUS_MESSAGE_CHARS).collect::<String>()))
}

/// Returns the status of a call that failed because of an HTTP/2 error.
pub(super) fn broken_connection(error: &h2::Error) -> Status {
    Status::new(code::UNAVAILABLE, error.to_string())
}
