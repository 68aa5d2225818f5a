use super::*;
use crate::gateway::settings::parse_settings;
use std::net::SocketAddr;

/// Creates the state of a box that sends from `datagrams` and knows one seed.
pub(in crate::gateway) fn state_with_seed(datagrams: UdpSocket, seed: SocketAddr) -> GatewayState {
    let own = datagrams.local_addr().unwrap();
    let text = format!(
        "[box]\nname = a1\ndomain = a\n[listen]\ncallers = {own}\nreadiness = {own}\n\
         state = {own}\npeers = {own}\nmetrics = {own}\n[platform]\nstore = {own}\n\
         [gateway]\nseeds = {seed}\n"
    );
    GatewayState::new(parse_settings("f.ini", &text).unwrap(), datagrams)
}
