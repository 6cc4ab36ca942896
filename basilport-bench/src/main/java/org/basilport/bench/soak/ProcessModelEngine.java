package org.basilport.bench.soak;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.basilport.engine.EngineOrder;
import org.basilport.engine.EngineReport;
import org.basilport.engine.EngineRequest;
import org.basilport.engine.GenerationEnd;
import org.basilport.engine.ModelEngine;
import org.basilport.engine.TokenFrame;
import org.basilport.engine.TokenListener;
import org.basilport.engine.TokenStream;
import org.basilport.error.BasilportException;

/** A model engine as seen from one simulated process. */
final class ProcessModelEngine implements ModelEngine {
  private final ModelEngine delegate;
  private final ProcessBoundary boundary;
  private final ConnectionRegistry connections;

  ProcessModelEngine(
      ModelEngine delegate, ProcessBoundary boundary, ConnectionRegistry connections) {
    this.delegate = delegate;
    this.boundary = boundary;
    this.connections = connections;
  }

  @Override
  public TokenStream generate(EngineRequest request, TokenListener listener) {
    RemoteStream stream = new RemoteStream();
    TokenListener remote = new ProcessListener(listener, stream);
    boundary.send(() -> stream.open(delegate.generate(request, remote)));
    return stream;
  }

  @Override
  public TokenStream resume(String generationId, long offset, TokenListener listener) {
    RemoteStream stream = new RemoteStream();
    TokenListener remote = new ProcessListener(listener, stream);
    boundary.send(() -> stream.open(delegate.resume(generationId, offset, remote)));
    return stream;
  }

  @Override
  public CompletableFuture<Boolean> cancel(String generationId, boolean onlyIfUnattached) {
    return boundary.call(() -> delegate.cancel(generationId, onlyIfUnattached));
  }

  @Override
  public CompletableFuture<EngineReport> report() {
    return boundary.call(delegate::report);
  }

  @Override
  public CompletableFuture<Void> order(EngineOrder order) {
    return boundary.call(() -> delegate.order(order));
  }

  /** A stream whose calls reach the engine as messages; it is closed when the process is killed. */
  private final class RemoteStream implements TokenStream {
    private TokenStream delegateStream;
    private int requestedFrames;
    private boolean closed;

    RemoteStream() {
      connections.add(this);
    }

    void open(TokenStream stream) {
      delegateStream = stream;
      if (closed) {
        stream.close();
      } else if (requestedFrames > 0) {
        stream.request(requestedFrames);
      }
    }

    @Override
    public void request(int frames) {
      boundary.send(
          () -> {
            requestedFrames += frames;
            if (delegateStream != null && !closed) {
              delegateStream.request(frames);
            }
          });
    }

    @Override
    public void close() {
      boundary.send(this::closeConnection);
    }

    /** Closes the connection outside the process, as the operating system does after a crash. */
    void closeConnection() {
      closed = true;
      connections.remove(this);
      if (delegateStream != null) {
        delegateStream.close();
      }
    }
  }

  /** Delivers the engine's notifications inside the process. */
  private final class ProcessListener implements TokenListener {
    private final TokenListener listener;
    private final RemoteStream stream;

    ProcessListener(TokenListener listener, RemoteStream stream) {
      this.listener = listener;
      this.stream = stream;
    }

    @Override
    public void onTokens(TokenFrame frame) {
      boundary.deliver(() -> listener.onTokens(frame));
    }

    @Override
    public void onEnd(GenerationEnd end) {
      connections.remove(stream);
      boundary.deliver(() -> listener.onEnd(end));
    }

    @Override
    public void onFailure(BasilportException failure) {
      connections.remove(stream);
      boundary.deliver(() -> listener.onFailure(failure));
    }
  }

  /** Open streams of one simulated process. */
  static final class ConnectionRegistry {
    private final Set<RemoteStream> open = new LinkedHashSet<>();

    void add(RemoteStream stream) {
      open.add(stream);
    }

    void remove(RemoteStream stream) {
      open.remove(stream);
    }

    /** Closes all streams of a process that was killed. */
    void closeAll() {
      List.copyOf(open).forEach(RemoteStream::closeConnection);
    }
  }
}
