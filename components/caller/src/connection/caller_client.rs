//! The local endpoint from which flows are opened.

use std::{
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    sync::Arc,
    time::Duration,
};

use compact_str::CompactString;
use quinn::{
    crypto::rustls::QuicClientConfig,
    ConnectionError,
    TransportErrorCode, //
};
use rustls::RootCertStore;
use rustls_pki_types::{
    pem::PemObject,
    CertificateDer,
    TrustAnchor, //
};
use snafu::{
    ensure,
    ResultExt,
    Snafu, //
};

use crate::{
    connection::CallerFlow,
    request::{
        CallerError,
        HandshakeFailedSnafu,
        HandshakeTimeoutSnafu,
        RefusedSnafu, //
    },
};

/// ALPN protocol name of HTTP/3.
const ALPN_H3: &[u8] = b"h3";
/// Idle timeout of flows unless the builder sets another.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval of keep-alive packets unless the builder sets another.
const DEFAULT_KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// Handshake timeout unless the builder sets another.
const DEFAULT_HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// Reasons why a client can't be built.
#[derive(Debug, Snafu)]
pub enum ClientError {
    /// A root certificate isn't valid PEM.
    #[snafu(display("unreadable root certificate: {source}"))]
    InvalidPem {
        /// What the parser reports.
        source: rustls_pki_types::pem::Error,
    },
    /// A certificate can't be used as a root certificate.
    #[snafu(display("unusable root certificate: {source}"))]
    InvalidRoot {
        /// What the verifier reports.
        source: rustls::Error,
    },
    /// No root certificate was added to the builder.
    #[snafu(display("no root certificate; at least one is needed"))]
    MissingRoot,
    /// The TLS settings can't be used.
    #[snafu(display("unusable TLS settings: {source}"))]
    InvalidTls {
        /// What the TLS library reports.
        source: rustls::Error,
    },
    /// The TLS library lacks the cipher suite that QUIC needs for its initial packets.
    #[snafu(display("no cipher suite for the initial packets of QUIC: {source}"))]
    MissingCipherSuite {
        /// What the QUIC library reports.
        source: quinn::crypto::rustls::NoInitialCipherSuite,
    },
    /// The idle timeout is longer than QUIC can express.
    #[snafu(display("idle timeout of {idle:?} is longer than QUIC can express"))]
    IdleTimeoutTooLong {
        /// The requested timeout.
        idle: Duration,
    },
    /// The local UDP address can't be bound.
    #[snafu(display("can't bind local address {address}: {source}"))]
    BindFailed {
        /// The address.
        address: SocketAddr,
        /// What the system reports.
        source: std::io::Error,
    },
}

/// Collects the settings of a [`CallerClient`].
#[derive(Clone, Debug)]
pub struct ClientBuilder {
    roots: RootCertStore,
    server_name: CompactString,
    local_address: SocketAddr,
    idle_timeout: Duration,
    keep_alive: Option<Duration>,
    handshake_timeout: Duration,
}

impl ClientBuilder {
    /// Trusts all certificates in `pem` as roots.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError::InvalidPem`] or [`ClientError::InvalidRoot`].
    pub fn root_pem(mut self, pem: impl AsRef<[u8]>) -> Result<ClientBuilder, ClientError> {
        for certificate in CertificateDer::pem_slice_iter(pem.as_ref()) {
            self = self.root_der(certificate.context(InvalidPemSnafu)?)?;
        }
        Ok(self)
    }

    /// Trusts a DER-encoded certificate as a root.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError::InvalidRoot`].
    pub fn root_der(
        mut self,
        certificate: CertificateDer<'_>,
    ) -> Result<ClientBuilder, ClientError> {
        let certificate = certificate.into_owned();
        self.roots.add(certificate).context(InvalidRootSnafu)?;
        Ok(self)
    }

    /// Trusts a root that is given as a trust anchor.
    pub fn trust_anchor(mut self, anchor: TrustAnchor<'static>) -> ClientBuilder {
        self.roots.roots.push(anchor);
        self
    }

    /// Sets the local address of all flows; by default a free port on all interfaces.
    pub fn local_address(mut self, address: SocketAddr) -> ClientBuilder {
        self.local_address = address;
        self
    }

    /// Sets the time without any received packet after which a flow is closed; 30 s by default.
    pub fn idle_timeout(mut self, idle: Duration) -> ClientBuilder {
        self.idle_timeout = idle;
        self
    }

    /// Sets the interval of keep-alive packets on an idle flow; 5 s by default, `None` sends none.
    pub fn keep_alive(mut self, interval: Option<Duration>) -> ClientBuilder {
        self.keep_alive = interval;
        self
    }

    /// Sets the time after which an incomplete handshake fails; 5 s by default.
    pub fn handshake_timeout(mut self, limit: Duration) -> ClientBuilder {
        self.handshake_timeout = limit;
        self
    }

    /// Binds the local address and creates the client.
    ///
    /// # Errors
    ///
    /// Returns a [`ClientError`] if a setting can't be used or the address can't be bound.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    pub fn build(&self) -> Result<CallerClient, ClientError> {
        let config = self.client_config()?;
        let address = self.local_address;
        let mut endpoint = quinn::Endpoint::client(address).context(BindFailedSnafu { address })?;
        endpoint.set_default_client_config(config);
        Ok(CallerClient {
            endpoint,
            server_name: self.server_name.clone(),
            handshake_timeout: self.handshake_timeout,
        })
    }

    fn client_config(&self) -> Result<quinn::ClientConfig, ClientError> {
        ensure!(!self.roots.is_empty(), MissingRootSnafu);
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let mut tls = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .context(InvalidTlsSnafu)?
            .with_root_certificates(self.roots.clone())
            .with_no_client_auth();
        tls.alpn_protocols = vec![ALPN_H3.to_vec()];
        let crypto = QuicClientConfig::try_from(tls).context(MissingCipherSuiteSnafu)?;
        let mut config = quinn::ClientConfig::new(Arc::new(crypto));
        config.transport_config(Arc::new(self.transport_config()?));
        Ok(config)
    }

    fn transport_config(&self) -> Result<quinn::TransportConfig, ClientError> {
        let idle = self.idle_timeout;
        let timeout = quinn::IdleTimeout::try_from(idle);
        let timeout = timeout.map_err(|_| IdleTimeoutTooLongSnafu { idle }.build())?;
        let mut transport = quinn::TransportConfig::default();
        transport.max_idle_timeout(Some(timeout));
        transport.keep_alive_interval(self.keep_alive);
        Ok(transport)
    }
}

/// A local UDP endpoint from which flows are opened.
#[derive(Clone, Debug)]
pub struct CallerClient {
    endpoint: quinn::Endpoint,
    server_name: CompactString,
    handshake_timeout: Duration,
}

impl CallerClient {
    /// Returns a builder for a client of the service whose certificate is issued for `server_name`.
    pub fn builder(server_name: impl Into<CompactString>) -> ClientBuilder {
        ClientBuilder {
            roots: RootCertStore::empty(),
            server_name: server_name.into(),
            local_address: SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            keep_alive: Some(DEFAULT_KEEP_ALIVE_INTERVAL),
            handshake_timeout: DEFAULT_HANDSHAKE_TIMEOUT,
        }
    }

    /// Opens a flow to the service at `address`.
    ///
    /// # Errors
    ///
    /// Returns [`CallerError::Refused`], [`CallerError::HandshakeTimeout`] or
    /// [`CallerError::HandshakeFailed`].
    pub async fn connect(&self, address: SocketAddr) -> Result<CallerFlow, CallerError> {
        let limit = self.handshake_timeout;
        let timeout = HandshakeTimeoutSnafu {
            address,
            timeout_ms: u64::try_from(limit.as_millis()).unwrap_or(u64::MAX),
        };
        match tokio::time::timeout(limit, self.open(address)).await {
            Ok(result) => result,
            Err(_) => timeout.fail(),
        }
    }

    /// Returns the local port, or 0 if the system can't tell it.
    pub(crate) fn local_port(&self) -> u16 {
        let address = self.endpoint.local_addr();
        address.map_or(0, |address| address.port())
    }

    /// Waits until all flows are closed and their peers notified, but no longer than `limit`.
    pub async fn wait_idle(&self, limit: Duration) {
        // A flow that is still open after `limit` is closed when its last handle is dropped.
        let _ = tokio::time::timeout(limit, self.endpoint.wait_idle()).await;
    }

    async fn open(&self, address: SocketAddr) -> Result<CallerFlow, CallerError> {
        let connecting = self.endpoint.connect(address, &self.server_name);
        let connecting = connecting.map_err(|error| {
            HandshakeFailedSnafu {
                address,
                reason: error.to_string(),
            }
            .build()
        })?;
        let connection = connecting
            .await
            .map_err(|error| handshake_error(address, self.handshake_timeout, &error))?;
        CallerFlow::start(connection, self.server_name.clone()).await
    }
}

/// Converts the error of a handshake with `address`.
fn handshake_error(address: SocketAddr, limit: Duration, error: &ConnectionError) -> CallerError {
    match error {
        ConnectionError::ConnectionClosed(close)
            if close.error_code == TransportErrorCode::CONNECTION_REFUSED =>
        {
            RefusedSnafu { address }.build()
        }
        ConnectionError::TimedOut => HandshakeTimeoutSnafu {
            address,
            timeout_ms: u64::try_from(limit.as_millis()).unwrap_or(u64::MAX),
        }
        .build(),
        other => HandshakeFailedSnafu {
            address,
            reason: other.to_string(),
        }
        .build(),
    }
}
