/** Orders that tell model engines which models to load, sent by the leader of each service. */
package org.basilport.order;
