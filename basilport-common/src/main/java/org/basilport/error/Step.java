package org.basilport.error;

/** Step of request processing at which a failure occurred. */
public enum Step {
  LOCATE,
  AUTHENTICATE,
  PARSE,
  ADMIT,
  CLAIM,
  CONNECT,
  SEND,
  STREAM,
  COLLECT,
  STORE,
  PEER,
  CONFIGURE
}
