/** Rate limits, retry budgets and backoff. */
package org.basilport.policy.limit;
