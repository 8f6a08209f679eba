//! Ports that the system gives are held from the moment they are known.

use std::net::{Ipv4Addr, TcpListener, UdpSocket};

use stageyoke_node::Listeners;

#[tokio::test]
async fn no_other_socket_can_take_a_port_that_was_given() {
    let listeners = Listeners::open_free(Ipv4Addr::LOCALHOST.into())
        .await
        .expect("ports");
    let addresses = [
        listeners.caller_address,
        listeners.operator_address,
        listeners.peer_address,
    ];
    for address in addresses {
        assert!(TcpListener::bind(address).is_err(), "{address} is free");
    }
    let datagrams = UdpSocket::bind(listeners.peer_address);
    assert!(datagrams.is_err(), "one port for connections and datagrams");
}
