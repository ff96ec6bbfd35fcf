//! A model engine over HTTP.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use eventsource_stream::{Event, Eventsource};
use futures::StreamExt;
use futures::stream::BoxStream;
use http::{Method, StatusCode};
use http_body_util::BodyDataStream;
use serde::de::DeserializeOwned;
use trackfront_core::ids::{Fence, RequestId};
use trackfront_core::order::Order;
use trackfront_core::ports::{
    CacheEvents, Engine, EngineError, Frame, FrameBody, FrameStream, GenerateError,
    GenerateRequest, KvBlob, LoadReport, OrderReply, StartFrom,
};

use crate::back_off::back_off;
use crate::http_client::{Answer, HttpClient, HttpError, read_answer, request, with_body};
use crate::wire::engine::{
    ADAPTER_HEADER, CACHE_EVENTS_PATH, CANCEL_PATH, CONTINUE_HEADER, DONE, FINAL_HEADER, KV_PATH,
    MODEL_HEADER, ORDERS_PATH, OrderAnswer, PRIORITY_HEADER, REPORT_PATH, REQUEST_ID_HEADER,
    RESUME_HEADER, VERSION_HEADER, continued_body, generate_path, parse_event_id,
};

/// The timeout of requests other than text requests.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// The timeout of the transfer of a KV cache.
const KV_TIMEOUT: Duration = Duration::from_secs(10);

/// The maximum length of an engine's error message in characters.
const DETAIL_CHARS: usize = 200;

/// A client of the engine at an address.
#[derive(Clone, Debug)]
pub struct HttpEngine {
    client: HttpClient,
    address: String,
}

impl HttpEngine {
    /// Creates a client of the engine at `address`.
    pub fn new(client: HttpClient, address: impl Into<String>) -> Self {
        Self { client, address: address.into() }
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        time: Duration,
    ) -> Result<Answer, HttpError> {
        let request = with_body(request(method, &self.address, path), body)?;
        self.client.fetch(request, time).await
    }

    async fn read<T: DeserializeOwned>(&self, path: &str) -> Result<T, EngineError> {
        let answer = self
            .send(Method::GET, path, Bytes::new(), REQUEST_TIMEOUT)
            .await
            .map_err(unavailable)?;
        if answer.status != StatusCode::OK {
            return Err(EngineError::BadAnswer(format!("status {}", answer.status)));
        }
        serde_json::from_slice(&answer.body)
            .map_err(|error| EngineError::BadAnswer(error.to_string()))
    }

    /// Returns the HTTP request for a text request.
    fn generate_request(
        &self,
        wanted: &GenerateRequest,
    ) -> Result<http::Request<http_body_util::Full<Bytes>>, HttpError> {
        let mut builder = request(Method::POST, &self.address, generate_path(wanted.kind))
            .header(http::header::CONTENT_TYPE, "application/json")
            .header(REQUEST_ID_HEADER, wanted.id.as_str())
            .header(PRIORITY_HEADER, u16::from(wanted.priority))
            .header(MODEL_HEADER, wanted.item.model.as_str())
            .header(VERSION_HEADER, wanted.item.version.as_str());
        if let Some(adapter) = &wanted.item.adapter {
            builder = builder.header(ADAPTER_HEADER, adapter.as_str());
        }
        match &wanted.from {
            StartFrom::Start => with_body(builder, wanted.body.clone()),
            StartFrom::Resume { offset } => {
                with_body(builder.header(RESUME_HEADER, *offset), wanted.body.clone())
            }
            StartFrom::Continue { offset, delivered } => {
                let body = continued_body(&wanted.body, delivered)
                    .map_err(|error| HttpError::NotSent(error.to_string()))?;
                with_body(builder.header(CONTINUE_HEADER, *offset), body)
            }
        }
    }
}

#[async_trait]
impl Engine for HttpEngine {
    async fn generate(&self, wanted: GenerateRequest) -> Result<FrameStream, GenerateError> {
        let request = self.generate_request(&wanted).map_err(generate_error)?;
        // The engine may process the request from now on, so it is cancelled if the caller leaves.
        let mut guard = CancelGuard { engine: self.clone(), request: Some(wanted.id.clone()) };
        let response = match self.client.send(request).await {
            Ok(response) => response,
            Err(error) => {
                if matches!(error, HttpError::NotSent(_)) {
                    guard.request = None;
                }
                return Err(generate_error(error));
            }
        };
        if response.status() != StatusCode::OK {
            guard.request = None;
            return Err(refusal(response).await);
        }
        if wanted.stream {
            let events = BodyDataStream::new(response.into_body()).eventsource();
            return Ok(Box::pin(frames(events.boxed(), guard)));
        }
        let frames = complete_answer(response).await?;
        guard.request = None;
        Ok(Box::pin(futures::stream::iter(frames.into_iter().map(Ok))))
    }

    async fn cancel(&self, request: &RequestId) -> Result<(), EngineError> {
        let path = format!("{CANCEL_PATH}{request}");
        let sent = self.send(Method::POST, &path, Bytes::new(), REQUEST_TIMEOUT).await;
        sent.map(|_| ()).map_err(unavailable)
    }

    async fn order(&self, order: &Order) -> OrderReply {
        let body = serde_json::to_vec(order).expect("our own types always encode");
        let answer = match self.send(Method::POST, ORDERS_PATH, body.into(), REQUEST_TIMEOUT).await
        {
            Ok(answer) => answer,
            Err(error) => return OrderReply::Unknown(unavailable(error)),
        };
        match serde_json::from_slice(&answer.body) {
            Ok(OrderAnswer::Accepted) => OrderReply::Accepted,
            Ok(OrderAnswer::Stale { seen }) => OrderReply::Stale { seen: Fence(seen) },
            Ok(OrderAnswer::Refused { reason }) => OrderReply::Refused { reason },
            Err(error) => OrderReply::Unknown(EngineError::BadAnswer(error.to_string())),
        }
    }

    async fn report(&self) -> Result<LoadReport, EngineError> {
        self.read(REPORT_PATH).await
    }

    async fn cache_events(&self, sequence: u64) -> Result<CacheEvents, EngineError> {
        self.read(&format!("{CACHE_EVENTS_PATH}?after={sequence}")).await
    }

    async fn export_kv(&self, request: &RequestId) -> Result<Option<KvBlob>, EngineError> {
        let path = format!("{KV_PATH}{request}");
        let answer =
            self.send(Method::GET, &path, Bytes::new(), KV_TIMEOUT).await.map_err(unavailable)?;
        match answer.status {
            StatusCode::OK => Ok(Some(KvBlob(answer.body))),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(EngineError::BadAnswer(format!("status {status}"))),
        }
    }

    async fn import_kv(&self, request: &RequestId, kv: KvBlob) -> Result<(), EngineError> {
        let path = format!("{KV_PATH}{request}");
        let answer = self.send(Method::PUT, &path, kv.0, KV_TIMEOUT).await.map_err(unavailable)?;
        match answer.status {
            StatusCode::OK => Ok(()),
            status => Err(EngineError::BadAnswer(format!("status {status}"))),
        }
    }
}

/// Cancels a request at the engine when dropped, unless it has ended.
struct CancelGuard {
    engine: HttpEngine,
    request: Option<RequestId>,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        let Some(request) = self.request.take() else {
            return;
        };
        let engine = self.engine.clone();
        tokio::spawn(async move {
            if let Err(error) = engine.cancel(&request).await {
                log::debug!("request {request} could not be cancelled: {error}");
            }
        });
    }
}

type Events<E> = BoxStream<'static, Result<Event, eventsource_stream::EventStreamError<E>>>;

/// Converts a stream of events to frames. After a lost connection the request is not cancelled, so that
/// it can be resumed.
fn frames<E: std::fmt::Display + 'static>(
    events: Events<E>,
    guard: CancelGuard,
) -> impl futures::Stream<Item = Result<Frame, GenerateError>> + Send {
    futures::stream::unfold(Some((events, guard)), |state| async move {
        let (mut events, mut guard) = state?;
        let frame = match events.next().await {
            Some(Ok(event)) => frame(&event),
            Some(Err(error)) => Err(GenerateError::Broke(error.to_string())),
            None => Err(GenerateError::Broke("the stream ended without its end mark".into())),
        };
        let is_last = !matches!(&frame, Ok(Frame { body: FrameBody::Data(_), .. }));
        if is_last {
            guard.request = None;
        }
        Some((frame, (!is_last).then_some((events, guard))))
    })
}

/// Converts an event to a frame.
fn frame(event: &Event) -> Result<Frame, GenerateError> {
    let (request, offset) = parse_event_id(&event.id)
        .ok_or_else(|| GenerateError::Broke(format!("an event has the id `{}`", event.id)))?;
    let body = match event.data.as_str() {
        DONE => FrameBody::End,
        data => FrameBody::Data(Bytes::copy_from_slice(data.as_bytes())),
    };
    Ok(Frame { request, offset, body })
}

/// Reads a complete answer as one frame and its end.
async fn complete_answer(
    response: http::Response<hyper::body::Incoming>,
) -> Result<[Frame; 2], GenerateError> {
    let answer = read_answer(response).await.map_err(generate_error)?;
    let request: RequestId = answer
        .headers
        .get(REQUEST_ID_HEADER)
        .and_then(|value| value.to_str().ok())
        .ok_or_else(|| GenerateError::Broke("the answer does not name its request".into()))?
        .into();
    let data = Frame { request: request.clone(), offset: 0, body: FrameBody::Data(answer.body) };
    let end = Frame { request, offset: 1, body: FrameBody::End };
    Ok([data, end])
}

/// Reads an engine's refusal.
async fn refusal(response: http::Response<hyper::body::Incoming>) -> GenerateError {
    let status = response.status().as_u16();
    let final_refusal = response.headers().contains_key(FINAL_HEADER);
    let back_off = back_off(response.status(), response.headers());
    let detail = match read_answer(response).await {
        Ok(answer) => String::from_utf8_lossy(&answer.body).chars().take(DETAIL_CHARS).collect(),
        Err(error) => error.to_string(),
    };
    GenerateError::Refused { status, detail, final_refusal, back_off }
}

fn generate_error(error: HttpError) -> GenerateError {
    match error {
        HttpError::NotSent(detail) => GenerateError::Unreachable(detail),
        HttpError::Lost(detail) => GenerateError::Broke(detail),
    }
}

fn unavailable(error: HttpError) -> EngineError {
    EngineError::Unavailable(error.to_string())
}
