//! Calls to plain servers over HTTP.

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use trackfront_adapters::http_client::HttpClient;
use trackfront_adapters::plain::HttpPlainService;
use trackfront_core::ports::{PlainCall, PlainError, PlainReply, PlainService};

/// Calls a server that answers with `answer` and closes the connection.
async fn call(answer: &'static str) -> Result<PlainReply, PlainError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound").to_string();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a call");
        let mut request = [0; 1_024];
        _ = stream.read(&mut request).await.expect("a request");
        stream.write_all(answer.as_bytes()).await.expect("it is read");
    });
    let call = PlainCall {
        id: "request-1".into(),
        method: "GET".into(),
        path_and_query: "/".into(),
        headers: Vec::new(),
        body: "".into(),
    };
    HttpPlainService::new(HttpClient::default(), address).call(call).await
}

/// Guards against half an answer that is passed on, or recorded, as a complete one.
#[tokio::test]
async fn answer_without_length_and_chunks_is_not_known_to_be_complete() {
    let open = call("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf an ans").await;
    assert!(open.is_ok_and(|reply| !reply.is_end_stated));
    let coded = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n\
                 4\r\nwell\r\n0\r\n\r\n";
    assert!(call(coded).await.is_ok_and(|reply| reply.is_end_stated));
    let stated = call("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nwell").await;
    assert!(stated.is_ok_and(|reply| reply.is_end_stated));
    assert!(call("HTTP/1.1 204 No Content\r\n\r\n").await.is_ok_and(|reply| reply.is_end_stated));
    let short = call("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nwell").await;
    assert!(matches!(short, Err(PlainError::Broke(_))));
}
