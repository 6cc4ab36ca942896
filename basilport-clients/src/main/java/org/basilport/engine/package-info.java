/** Client interface of model engines. */
package org.basilport.engine;
