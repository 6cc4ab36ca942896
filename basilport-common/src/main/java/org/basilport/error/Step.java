package org.basilport.error;

/** The step of the request path at which a failure arose. */
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
