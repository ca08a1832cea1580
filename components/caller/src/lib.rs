//! An HTTP/3 caller that checks every answer.
