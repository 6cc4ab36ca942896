package org.basilport.fake;

import java.util.ArrayList;
import java.util.List;
import org.basilport.delivery.GenerationListener;
import org.basilport.error.BasilportException;

/** Records what a caller receives. */
public final class RecordingListener implements GenerationListener {
  public final List<String> tokens = new ArrayList<>();
  public String resumeToken;
  public boolean ended;
  public List<String> handoverAddresses;
  public BasilportException failure;

  @Override
  public void onTokens(long offset, List<String> batch, String token) {
    tokens.addAll(batch);
    resumeToken = token;
  }

  @Override
  public void onEnd(long totalTokens, String reason) {
    ended = true;
  }

  @Override
  public void onHandover(String token, List<String> addresses) {
    resumeToken = token;
    handoverAddresses = addresses;
  }

  @Override
  public void onFailure(BasilportException cause) {
    failure = cause;
  }
}
