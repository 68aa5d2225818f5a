use super::*;
use dockgate_core::gateway::{DigestScope, RequestFingerprint, SuspectEvent};

fn datagram(message: GatewayMessage) -> GatewayDatagram {
    GatewayDatagram {
        from: BoxKey(u32::MAX),
        incarnation: Incarnation(7),
        message,
    }
}

fn heartbeat() -> BoxHeartbeat {
    BoxHeartbeat::new("a1", "a", "10.0.0.1:7400".parse().unwrap())
}

fn messages() -> [GatewayMessage; 4] {
    [
        GatewayMessage::Heartbeat {
            heartbeat: heartbeat(),
            shares: Vec::new(),
        },
        GatewayMessage::Digest {
            digest: FleetDigest {
                scope: DigestScope::OtherDomain,
                sender: heartbeat(),
                coordinators: Vec::new(),
                members: Vec::new(),
                live: 1,
                known: 1,
            },
            shares: Vec::new(),
        },
        GatewayMessage::Ended {
            run: 1,
            endpoint: EndpointId(2),
        },
        GatewayMessage::Suspects {
            rows: vec![SuspectReport::new(
                RequestFingerprint::new([7; 16]),
                SuspectEvent::Ended(EndpointId(2)),
            )],
        },
    ]
}

#[test]
fn datagrams_survive_a_round_trip() {
    for message in messages() {
        let sent = datagram(message);
        let bytes = sent.encode().unwrap();
        assert_eq!(GatewayDatagram::decode(&bytes), Ok(sent));
        assert!(GatewayDatagram::decode(&bytes[..bytes.len() - 1]).is_err());
    }
}

/// Guards against datagrams accepted across formats, the one without a prefix included.
#[test]
fn datagrams_of_other_formats_are_rejected() {
    for message in messages() {
        let sent = datagram(message);
        let bytes = sent.encode().unwrap();
        assert!(postcard::from_bytes::<GatewayDatagram>(&bytes).is_err());
        let unprefixed = postcard::to_stdvec(&sent).unwrap();
        assert!(GatewayDatagram::decode(&unprefixed).is_err());
    }
}
