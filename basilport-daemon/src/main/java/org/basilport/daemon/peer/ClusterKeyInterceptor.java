package org.basilport.daemon.peer;

import io.grpc.CallOptions;
import io.grpc.Channel;
import io.grpc.ClientCall;
import io.grpc.ClientInterceptor;
import io.grpc.ForwardingClientCall.SimpleForwardingClientCall;
import io.grpc.Metadata;
import io.grpc.MethodDescriptor;
import io.grpc.ServerCall;
import io.grpc.ServerCallHandler;
import io.grpc.ServerInterceptor;
import io.grpc.Status;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;

/** Adds the cluster key to outgoing calls and rejects incoming calls without it. */
final class ClusterKeyInterceptor implements ClientInterceptor, ServerInterceptor {
  private static final Metadata.Key<byte[]> HEADER =
      Metadata.Key.of("basilport-cluster-key-bin", Metadata.BINARY_BYTE_MARSHALLER);

  private final byte[] key;

  ClusterKeyInterceptor(String key) {
    if (key.isEmpty()) {
      throw new IllegalArgumentException("the cluster key must not be empty");
    }
    this.key = key.getBytes(StandardCharsets.UTF_8);
  }

  @Override
  public <Q, P> ClientCall<Q, P> interceptCall(
      MethodDescriptor<Q, P> method, CallOptions options, Channel next) {
    return new SimpleForwardingClientCall<>(next.newCall(method, options)) {
      @Override
      public void start(Listener<P> listener, Metadata headers) {
        headers.put(HEADER, key);
        super.start(listener, headers);
      }
    };
  }

  @Override
  public <Q, P> ServerCall.Listener<Q> interceptCall(
      ServerCall<Q, P> call, Metadata headers, ServerCallHandler<Q, P> next) {
    byte[] presented = headers.get(HEADER);
    // The comparison takes constant time, so that the key cannot be guessed byte by byte.
    if (presented == null || !MessageDigest.isEqual(presented, key)) {
      call.close(
          Status.UNAUTHENTICATED.withDescription("the cluster key is missing or wrong"),
          new Metadata());
      return new ServerCall.Listener<>() {};
    }
    return next.startCall(call, headers);
  }
}
