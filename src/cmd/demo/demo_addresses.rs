//! Loopback addresses of the demo.

use std::net::{
    Ipv4Addr,
    SocketAddrV4, //
};

/// Port of the service.
const SERVICE_PORT: u16 = 4433;
/// Port of tunnel and control connections.
const PROCESS_PORT: u16 = 7000;
/// Port of the metrics endpoints.
const METRICS_PORT: u16 = 9100;

/// Loopback addresses of one process, so that several demos can run at the same time.
#[derive(Clone, Copy, Debug)]
pub(super) struct DemoAddresses {
    second_octet: u8,
    third_octet: u8,
}

impl DemoAddresses {
    /// Returns addresses that are derived from the id of this process.
    pub(super) fn of_process() -> DemoAddresses {
        let id = std::process::id();
        DemoAddresses {
            second_octet: 10 + (id / 250 % 100) as u8,
            third_octet: (id % 250) as u8,
        }
    }

    /// Returns the address of the service.
    pub(super) fn service(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(2), SERVICE_PORT)
    }

    /// Returns the IP address of a balancer.
    pub(super) fn balancer(&self, index: usize) -> Ipv4Addr {
        self.ip(10 + index as u8)
    }

    /// Returns the IP address of an agent.
    pub(super) fn agent(&self, index: usize) -> Ipv4Addr {
        self.ip(30 + index as u8)
    }

    fn ip(&self, last: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.second_octet, self.third_octet, last)
    }
}

/// Returns the address of tunnel and control connections at `ip`.
pub(super) fn process_address(ip: Ipv4Addr) -> SocketAddrV4 {
    SocketAddrV4::new(ip, PROCESS_PORT)
}

/// Returns the address of the metrics endpoint at `ip`.
pub(super) fn metrics_address(ip: Ipv4Addr) -> SocketAddrV4 {
    SocketAddrV4::new(ip, METRICS_PORT)
}
