//! Stateless reset tokens derived from the key ring.

use carobdrum_control::PublishedState;
use carobdrum_core::{
    connection::FlowId,
    version::RESET_TOKEN_LEN, //
};
use quinn_proto::crypto::{
    CryptoError,
    HmacKey, //
};
use tokio::sync::watch;

/// Derives reset tokens from the key that the connection ID was issued under, so that balancers and
/// a restarted agent derive the same tokens.
pub(crate) struct ResetKey {
    published: watch::Receiver<PublishedState>,
}

impl ResetKey {
    pub(crate) fn new(published: watch::Receiver<PublishedState>) -> ResetKey {
        ResetKey { published }
    }

    fn token(&self, data: &[u8]) -> [u8; RESET_TOKEN_LEN] {
        let state = self.published.borrow();
        let token = FlowId::from_slice(data)
            .and_then(|flow| state.keys.as_ref().and_then(|keys| keys.reset_token(&flow)));
        // An ID issued under an expired key gets a random token, which no caller accepts.
        token.unwrap_or_else(rand::random)
    }
}

impl HmacKey for ResetKey {
    fn sign(&self, data: &[u8], signature_out: &mut [u8]) {
        signature_out.copy_from_slice(&self.token(data));
    }

    fn signature_len(&self) -> usize {
        RESET_TOKEN_LEN
    }

    fn verify(&self, data: &[u8], signature: &[u8]) -> Result<(), CryptoError> {
        if signature == self.token(data) {
            Ok(())
        } else {
            Err(CryptoError)
        }
    }
}
