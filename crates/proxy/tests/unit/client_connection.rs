//! Tests of what `node`'s `downstream::edge_connection` keeps to itself; it takes this file in as its `tests`.
use super::*;

#[test]
fn edge_connections_fit_within_the_limits() {
    assert_eq!(max_connections(1024, 2048.0), 752);
    assert_eq!(max_connections(1024, 32.0), 488, "memory binds before descriptors");
    assert_eq!(max_connections(256, 32.0), 176);
    assert_eq!(max_connections(64, 192.0), 32);
    assert_eq!(max_connections(0, 0.0), 8, "a few in any case");
}

// Guards against a head of which only the end was seen, and which hides the other length there.
#[test]
fn a_body_framed_in_two_ways_is_told_from_one_in_chunks() {
    let headers: hyper::HeaderMap = [("host", "s"), ("transfer-encoding", "chunked")]
        .into_iter()
        .map(|(n, v)| (n.parse().expect("a name"), v.parse().expect("a value")))
        .collect();
    let framed = |head: &str| framed_twice(head.as_bytes(), &headers);
    assert!(!framed("\r\nPOST / HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked\r\n\r\nContent-Length: 1"));
    assert!(framed("POST / HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked\r\ncontent-LENGTH: 1\r\n\r\n"));
    assert!(framed("POST / HTTP/1.1\nContent-Length: 1\nHost: s\nTransfer-Encoding: chunked\n\n"));
    assert!(framed("ost: s\r\nTransfer-Encoding: chunked\r\n\r\n"), "the start was not seen");
    assert!(!framed_twice(b"", &hyper::HeaderMap::new()));
}
